package platform

import (
	"sync"
	"time"

	wire "github.com/berylwharf/berylwharf/vmapi"
)

// maxReadBytes bounds the record data in one answer. It exceeds an append, so that a read always makes progress.
const maxReadBytes = 4 << 20

type record struct {
	data []byte
	at   time.Time
}

// stream is an append-only sequence of records with retention. Offsets start at 1.
type stream struct {
	mu      sync.Mutex
	oldest  uint64
	records []record
	grown   chan struct{} // closed and replaced by each append
}

func newStream() *stream {
	return &stream{oldest: 1, grown: make(chan struct{})}
}

func (s *stream) next() uint64 { return s.oldest + uint64(len(s.records)) }

// append stores the records and returns the offset of the first and the next free offset.
func (s *stream) append(data [][]byte, now time.Time, keep retention) (first, next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = s.next()
	for _, d := range data {
		s.records = append(s.records, record{data: d, at: now})
	}
	s.retain(now, keep)
	close(s.grown)
	s.grown = make(chan struct{})
	return first, s.next()
}

// retention bounds the records of each stream by number and by age; 0 means no bound.
type retention struct {
	records int
	age     time.Duration
}

func (s *stream) retain(now time.Time, keep retention) {
	drop := 0
	if keep.records > 0 {
		drop = max(drop, len(s.records)-keep.records)
	}
	if keep.age > 0 {
		for drop < len(s.records) && now.Sub(s.records[drop].at) > keep.age {
			drop++
		}
	}
	s.records = s.records[drop:]
	s.oldest += uint64(drop)
}

// read returns up to limit records from offset from on. gone is true when from is below the oldest kept record. grown is
// closed at the next append.
func (s *stream) read(from uint64, limit int, now time.Time, keep retention) (resp wire.ReadResponse, gone bool, grown <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retain(now, keep)
	resp = wire.ReadResponse{Oldest: s.oldest, Next: s.next()}
	if from < s.oldest {
		return resp, true, s.grown
	}
	size := 0
	for off := from; off < resp.Next && len(resp.Records) < limit; off++ {
		data := s.records[off-s.oldest].data
		size += len(data)
		if size > maxReadBytes && len(resp.Records) > 0 {
			break
		}
		resp.Records = append(resp.Records, wire.LogRecord{Offset: off, Data: data})
	}
	return resp, false, s.grown
}
