package claims

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// maxNameBytes limits the names in a key. Resource names have at most 63 bytes.
const maxNameBytes = 64

// Hash returns the hash that selects the home nodes of the key.
func (k Key) Hash() uint64 {
	d := xxhash.New()
	// Writes to a digest never fail. The separator cannot occur in a name or an identifier.
	_, _ = d.WriteString(k.Customer)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(k.Service)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(k.ID)
	return d.Sum64()
}

// Time returns the time contained in an identifier that is a version 7 UUID. ok is false for any other identifier.
func (k Key) Time() (t time.Time, ok bool) {
	id, err := uuid.Parse(k.ID)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// InFuture reports whether the time in the identifier is ahead of now by more than ClockSkew.
func (k Key) InFuture(now time.Time) bool {
	t, ok := k.Time()
	return ok && t.After(now.Add(ClockSkew))
}

// Check returns an error if the identifier is empty or a part of the key is longer than any node accepts from a
// caller.
func (k Key) Check() error {
	if k.ID == "" || len(k.ID) > MaxKeyBytes || len(k.Service) > maxNameBytes || len(k.Customer) > maxNameBytes {
		return errors.New("request identifier out of bounds")
	}
	return nil
}
