package job

import (
	"strings"

	"github.com/pkg/errors"
)

// MaxIDBytes is the length of the longest job identifier. Identifiers are parts of the store's keys, which have at most 255 bytes.
const MaxIDBytes = 64

// CheckNew returns an error for a job that cannot be stored, and so must not be submitted: its identifier is not a part of a key. Jobs
// that are stored already are not checked.
func (s *Spec) CheckNew() error {
	if len(s.ID) > MaxIDBytes || strings.ContainsFunc(s.ID, isNoIDCharacter) {
		return errors.Errorf("a job identifier consists of at most %d letters, digits, hyphens and underscores", MaxIDBytes)
	}
	return nil
}

func isNoIDCharacter(r rune) bool {
	switch {
	case r >= '0' && r <= '9', r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r == '-', r == '_':
		return false
	}
	return true
}
