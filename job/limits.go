package job

import (
	"strings"

	"github.com/pkg/errors"
)

// MaxIDBytes is the length of the longest job identifier. Identifiers are parts of the store's keys, which have at most 255 bytes.
const MaxIDBytes = 64

// Upper bounds of the size of parts of the stored records, in bytes.
const (
	// specRecordBytes is that of a specification without its strings and steps, and stepRecordBytes that of a step without its
	// strings and dependencies.
	specRecordBytes       = 512
	stepRecordBytes       = 128
	dependencyRecordBytes = 9 // a CBOR integer
	// taskRecordBytes is that of the progress of a task: its place, its ended runs and its checkpoint. It allows for a few failed
	// runs and a checkpoint of 16 bytes.
	taskRecordBytes = 48
	// progressRecordBytes is that of the progress of a job without its tasks, and of the key.
	progressRecordBytes = 256
)

// ErrTooLarge means that the records of a job would be larger than the store accepts.
var ErrTooLarge = errors.New("the job is too large to be stored")

// CheckNew returns an error for a job that cannot be stored, and so must not be submitted: its identifier is not a part of a key,
// or its specification or progress does not fit into a record of recordBytes. The error is ErrTooLarge in the latter case. Jobs
// that are stored already are not checked.
func (s *Spec) CheckNew(recordBytes int) error {
	if len(s.ID) > MaxIDBytes || strings.ContainsFunc(s.ID, isNoIDCharacter) {
		return errors.Errorf("a job identifier consists of at most %d letters, digits, hyphens and underscores", MaxIDBytes)
	}
	if n := s.tasks(); n > maxTasks(recordBytes) {
		return errors.WithMessagef(ErrTooLarge, "%d tasks, at most %d are possible", n, maxTasks(recordBytes))
	}
	if n := s.maxRecordBytes(); n > recordBytes {
		return errors.WithMessagef(ErrTooLarge, "%d bytes, at most %d are possible", n, recordBytes)
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

// tasks returns the number of tasks of one occurrence.
func (s *Spec) tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// maxRecordBytes returns an upper bound of the size of the specification's record.
func (s *Spec) maxRecordBytes() int {
	n := specRecordBytes + len(s.ID) + len(s.Queue) + len(s.Pool) + len(s.Payload) + len(s.Customer)
	for i := range s.Steps {
		step := &s.Steps[i]
		n += stepRecordBytes + len(step.Label) + len(step.DataRack) + len(step.Image) + dependencyRecordBytes*len(step.DependsOn)
	}
	return n
}

// maxTasks returns how many tasks of a job may exist at the same time, so that the record of their progress fits into recordBytes.
func maxTasks(recordBytes int) int { return max(1, (recordBytes-progressRecordBytes)/taskRecordBytes) }
