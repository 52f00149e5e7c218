package apikey

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
)

const (
	// MaxKeyBytes is the greatest length of a usable key. It bounds the cost of hashing what a caller sends.
	MaxKeyBytes = 512
	saltSize    = 32
	// redacted is the text of every representation of a key.
	redacted = "[key]"
)

// salt is random for each process, so that neither the digests nor their order in a table reveal anything about the keys.
var salt = newSalt()

func newSalt() (s [saltSize]byte) {
	// Read never returns an error; it ends the process if the system has no random numbers.
	_, _ = rand.Read(s[:])
	return s
}

// Key is a salted digest of an API key. It holds no part of the key itself and prints and encodes as a fixed text. The
// zero Key is no key and equals none.
type Key struct {
	digest [sha256.Size]byte
	usable bool
}

// NewKey returns the digest of a key. A text that is empty or longer than MaxKeyBytes gives the zero Key.
func NewKey(text string) Key {
	if text == "" || len(text) > MaxKeyBytes {
		return Key{}
	}
	var b [saltSize + MaxKeyBytes]byte
	copy(b[:], salt[:])
	n := copy(b[saltSize:], text)
	return Key{digest: sha256.Sum256(b[:saltSize+n]), usable: true}
}

// Usable reports whether the key can be used at all. The zero Key is not usable.
func (k Key) Usable() bool { return k.usable }

// equal compares two keys in constant time.
func (k Key) equal(o Key) bool {
	return k.usable && o.usable && subtle.ConstantTimeCompare(k.digest[:], o.digest[:]) == 1
}

// slot returns the part of the digest by which a table finds the key.
func (k Key) slot() uint64 { return binary.BigEndian.Uint64(k.digest[:]) }

// UnmarshalJSON sets the digest of a JSON string. Any other value gives the zero Key and no error, because an error would
// make the whole configuration unreadable, and its text could contain the key.
func (k *Key) UnmarshalJSON(b []byte) error {
	var text string
	*k = Key{}
	if json.Unmarshal(b, &text) == nil {
		*k = NewKey(text)
	}
	return nil
}

// MarshalText implements encoding.TextMarshaler. The text does not depend on the key.
func (Key) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// String implements fmt.Stringer. The text does not depend on the key.
func (Key) String() string { return redacted }

// Format implements fmt.Formatter for all verbs. The text does not depend on the key.
func (Key) Format(f fmt.State, _ rune) {
	// A Formatter can't report an error of its output.
	_, _ = io.WriteString(f, redacted)
}
