package platform

import (
	"sync"
	"time"

	wire "github.com/berylwharf/berylwharf/vmapi"
)

// maxReadBytes limits the record data in a response. It exceeds the size of an append, so that each read makes
// progress.
const maxReadBytes = 4 << 20

type record struct {
	data       []byte
	appendedAt time.Time
}

// stream is an append-only sequence of records with retention. Offsets start at 1.
type stream struct {
	mu       sync.Mutex
	oldest   uint64
	records  []record
	appended chan struct{} // closed and replaced by each append
}

func newStream() *stream {
	return &stream{oldest: 1, appended: make(chan struct{})}
}

func (s *stream) next() uint64 { return s.oldest + uint64(len(s.records)) }

// append stores the records and returns the offset of the first one and the next free offset.
func (s *stream) append(data [][]byte, now time.Time, limits retention) (first, next uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = s.next()
	for _, d := range data {
		s.records = append(s.records, record{data: d, appendedAt: now})
	}
	s.applyRetention(now, limits)
	close(s.appended)
	s.appended = make(chan struct{})
	return first, s.next()
}

// retention limits the records of each stream by number and by age; 0 means no limit.
type retention struct {
	records int
	age     time.Duration
}

func (s *stream) applyRetention(now time.Time, limits retention) {
	drop := 0
	if limits.records > 0 {
		drop = max(drop, len(s.records)-limits.records)
	}
	if limits.age > 0 {
		for drop < len(s.records) && now.Sub(s.records[drop].appendedAt) > limits.age {
			drop++
		}
	}
	s.records = s.records[drop:]
	s.oldest += uint64(drop)
}

// read returns up to limit records starting at offset from. gone is true if from is below the oldest retained offset.
// appended is closed at the next append.
func (s *stream) read(from uint64, limit int, now time.Time, limits retention) (resp wire.ReadResponse, gone bool, appended <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyRetention(now, limits)
	resp = wire.ReadResponse{Oldest: s.oldest, Next: s.next()}
	if from < s.oldest {
		return resp, true, s.appended
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
	return resp, false, s.appended
}
