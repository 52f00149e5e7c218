package claims

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// maxNameBytes bounds the names in a key; those of resources have at most 63 bytes.
const maxNameBytes = 64

// Hash returns the hash that places the key among the members.
func (k Key) Hash() uint64 {
	d := xxhash.New()
	// Writes to a digest never fail. The separator cannot occur in a name or identifier.
	_, _ = d.WriteString(k.Customer)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(k.Service)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(k.ID)
	return d.Sum64()
}

// Time returns the time contained in an identifier that is a UUID of version 7. ok is false for other identifiers.
func (k Key) Time() (t time.Time, ok bool) {
	id, err := uuid.Parse(k.ID)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// InFuture tells whether the identifier's time is further in the future than clocks may differ.
func (k Key) InFuture(now time.Time) bool {
	t, ok := k.Time()
	return ok && t.After(now.Add(ClockSkew))
}

// Check returns an error for a key that no node accepts from a caller.
func (k Key) Check() error {
	if k.ID == "" || len(k.ID) > MaxKeyBytes || len(k.Service) > maxNameBytes || len(k.Customer) > maxNameBytes {
		return errors.New("request identifier out of bounds")
	}
	return nil
}
