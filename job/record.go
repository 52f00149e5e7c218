package job

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Phase is the stored lifecycle state of a job.
type Phase string

// Phases of a job.
const (
	Active    Phase = "active"
	Completed Phase = "completed"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Prefixes of the keys of stored records.
const (
	keySpec     = "s/"
	keyProgress = "p/"
	keyWorker   = "w/"
	// keyLearned is followed by the name of a pool.
	keyLearned = "i/"
)

// Record is a stored key-value pair. An empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// specRecord is the value of a specification key. After the job has finished, the record is kept without the steps for
// as long as the state of the job must be known.
type specRecord struct {
	Phase Phase `cbor:"1,keyasint"`
	Spec  *Spec `cbor:"2,keyasint"`
	EndMs int64 `cbor:"3,keyasint,omitempty"` // Unix time at which the job left phase Active
}

// taskRecord is the stored progress of one task.
type taskRecord struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Done       bool
	Failed     []int // numbers of the runs that failed
	LastRun    int
	Saved      string
}

// progressRecord is the value of a progress key. First is the lowest occurrence that is not done.
type progressRecord struct {
	First int          `cbor:"1,keyasint,omitempty"`
	Tasks []taskRecord `cbor:"2,keyasint,omitempty"`
}

// workerRecord is the value of a worker key. It names a worker on which the owner may have started tasks.
type workerRecord struct {
	Pool        string     `cbor:"1,keyasint"`
	Info        WorkerInfo `cbor:"2,keyasint"`
	Incarnation int64      `cbor:"3,keyasint,omitempty"`
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		// The record types contain only types that CBOR can encode.
		panic(errors.Wrap(err, "encoding a job record"))
	}
	return b
}

// WorkerInfo describes a worker as the directory lists it.
type WorkerInfo struct {
	ID       string    `cbor:"1,keyasint"`
	Addr     string    `cbor:"2,keyasint"`
	Zone     string    `cbor:"3,keyasint,omitempty"`
	Rack     string    `cbor:"4,keyasint,omitempty"`
	Labels   []string  `cbor:"5,keyasint,omitempty"`
	Capacity Resources `cbor:"6,keyasint"`
	Draining bool      `cbor:"7,keyasint,omitempty"`
	// Incarnation is the start of the described incarnation in Unix milliseconds; 0 if the entry does not name it.
	Incarnation int64 `cbor:"8,keyasint,omitempty"`
}

// Time is one instant on two clocks.
type Time struct {
	Steady time.Duration // since an arbitrary origin; includes time during which the machine was suspended
	WallMs int64         // Unix time
}

// Loaded holds the stored records that a new owner has read.
type Loaded struct {
	Specs   []LoadedJob
	Workers map[string][]WorkerInfo // by pool
	learned map[string]learnedRecord
	// Other holds records that do not belong to this package.
	Other    []Record
	Problems []error // records that could not be decoded; they are skipped
}

// LoadedJob is a stored job with its progress.
type LoadedJob struct {
	Phase    Phase
	Spec     *Spec
	EndMs    int64
	progress progressRecord
}

// Decode decodes stored records.
func Decode(records []Record) *Loaded {
	l := &Loaded{Workers: make(map[string][]WorkerInfo), learned: make(map[string]learnedRecord)}
	progress := make(map[string]progressRecord)
	for _, r := range records {
		if err := l.addRecord(r, progress); err != nil {
			l.Problems = append(l.Problems, errors.Wrapf(err, "record %q", r.Key))
		}
	}
	for i := range l.Specs {
		l.Specs[i].progress = progress[l.Specs[i].Spec.ID]
	}
	return l
}

func (l *Loaded) addRecord(r Record, progress map[string]progressRecord) error {
	if len(r.Key) < 2 {
		return errors.New("unknown key")
	}
	prefix, rest := r.Key[:2], r.Key[2:]
	switch prefix {
	case keySpec:
		var v specRecord
		if err := cbor.Unmarshal(r.Value, &v); err != nil {
			return err
		}
		if v.Spec == nil || v.Spec.ID != rest {
			return errors.New("the record has no specification, or the job identifier in it differs from the key")
		}
		if v.Phase == Active {
			// A finished job is stored without its steps.
			if err := v.Spec.Validate(); err != nil {
				return err
			}
		}
		l.Specs = append(l.Specs, LoadedJob{Phase: v.Phase, Spec: v.Spec, EndMs: v.EndMs})
	case keyProgress:
		var v progressRecord
		if err := cbor.Unmarshal(r.Value, &v); err != nil {
			return err
		}
		progress[rest] = v
	case keyWorker:
		var v workerRecord
		if err := cbor.Unmarshal(r.Value, &v); err != nil {
			return err
		}
		l.Workers[v.Pool] = append(l.Workers[v.Pool], v.Info)
	case keyLearned:
		var v learnedRecord
		if err := cbor.Unmarshal(r.Value, &v); err != nil {
			return err
		}
		l.learned[rest] = v
	default:
		l.Other = append(l.Other, r)
	}
	return nil
}
