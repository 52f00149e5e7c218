package job

import (
	"time"

	"github.com/berylwharf/berylwharf/interference"
)

const (
	// learnedInterval is the minimum time between two records of what was learned. It is short compared with the half a minute
	// in which evidence is forgotten.
	learnedInterval = 5 * time.Second
	// maxLearnedPairs and maxLearnedBytes bound the record, so that it is not longer than the record of a job may be.
	maxLearnedPairs = 64
	maxLearnedBytes = MaxSpecBytes
)

// learnedRecord is the value of the key of what a pool has learned about interference.
type learnedRecord struct {
	WallMs int64               `cbor:"1,keyasint"` // Unix time of the snapshot
	Pairs  []interference.Pair `cbor:"2,keyasint,omitempty"`
}

// snapshotLearned prepares the record of what was learned for the next commit that is made for another reason. Once everything
// is forgotten, the record is deleted, because a shard with records has to have an owner.
func (p *Pool) snapshotLearned(now Time) {
	s := &p.interference
	if (!s.changed && !s.stored) || now.Steady-s.snapshotAt < learnedInterval {
		return
	}
	s.changed, s.snapshotAt, s.record = false, now.Steady, nil
	key := keyLearned + p.cfg.Pool
	pairs := s.estimator.Snapshot(maxLearnedPairs, now.Steady)
	for ; len(pairs) > 0; pairs = pairs[:len(pairs)/2] {
		value := encode(learnedRecord{WallMs: now.WallMs, Pairs: pairs})
		if len(value) <= maxLearnedBytes {
			s.record = &Record{Key: key, Value: value}
			return
		}
	}
	if s.stored {
		s.record = &Record{Key: key}
	}
}

// takeLearned returns the record that snapshotLearned prepared, if there is a new one. If its commit fails, the record is lost:
// the next one replaces it anyway.
func (p *Pool) takeLearned() []Record {
	r := p.interference.record
	if r == nil {
		return nil
	}
	p.interference.record = nil
	p.interference.stored = len(r.Value) > 0
	return []Record{*r}
}

// restoreLearned starts with what an earlier owner had learned. A wall clock that went back makes the record appear new, and
// one that went forward makes it appear old, so that it has less weight.
func (p *Pool) restoreLearned(r learnedRecord, now Time) {
	if r.WallMs == 0 {
		return
	}
	p.interference.stored = true
	age := max(0, time.Duration(now.WallMs-r.WallMs)*time.Millisecond)
	p.interference.estimator.Restore(r.Pairs, age, now.Steady)
}
