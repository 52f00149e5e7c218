package follower

import (
	"context"
	"io"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/berylwharf/berylwharf/logclient"
	"github.com/berylwharf/berylwharf/vmapi"
)

// fault is the fault injected into one call of the fake log.
type fault int

const (
	faultNone        fault = iota
	faultRefused           // refused, which proves that nothing was stored
	faultNotStored         // not stored, but the error does not prove that
	faultAnswerLost        // stored, but the answer is lost
	faultStoredTwice       // stored twice, and the answer is lost
	faultHang              // not stored, no answer until the context ends
)

type fakeStream struct {
	oldest  uint64
	records [][]byte
}

// fakeLog is an in-memory log service. The hooks select the faults; they are called without holding the lock.
type fakeLog struct {
	mu       sync.Mutex
	streams  map[string]*fakeStream
	appended chan struct{}
	onAppend func(stream string) fault
	onRead   func(stream string) fault
	appends  int
}

func newFakeLog() *fakeLog {
	none := func(string) fault { return faultNone }
	return &fakeLog{streams: map[string]*fakeStream{}, appended: make(chan struct{}), onAppend: none, onRead: none}
}

// set replaces the fault hooks.
func (l *fakeLog) set(onAppend, onRead func(string) fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onAppend, l.onRead = onAppend, onRead
}

func always(f fault) func(string) fault { return func(string) fault { return f } }

func (l *fakeLog) stream(name string) *fakeStream {
	s := l.streams[name]
	if s == nil {
		s = &fakeStream{oldest: 1}
		l.streams[name] = s
	}
	return s
}

// trim removes all records below an offset.
func (l *fakeLog) trim(name string, oldest uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	s.records = s.records[oldest-s.oldest:]
	s.oldest = oldest
}

func (l *fakeLog) next(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.oldest + uint64(len(s.records))
}

func (l *fakeLog) Append(ctx context.Context, name string, records [][]byte) (vmapi.AppendResponse, error) {
	l.mu.Lock()
	hook := l.onAppend
	l.mu.Unlock()
	f := hook(name)
	switch f {
	case faultRefused:
		return vmapi.AppendResponse{}, &logclient.AppendError{Err: syscall.ECONNREFUSED}
	case faultNotStored:
		return vmapi.AppendResponse{}, &logclient.AppendError{MayTakeEffect: true, Err: errors.New("broken")}
	case faultHang:
		<-ctx.Done()
		return vmapi.AppendResponse{}, &logclient.AppendError{MayTakeEffect: true, Err: ctx.Err()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	first := s.oldest + uint64(len(s.records))
	s.records = append(s.records, records...)
	if f == faultStoredTwice {
		s.records = append(s.records, records...)
	}
	l.appends++
	close(l.appended)
	l.appended = make(chan struct{})
	if f != faultNone {
		return vmapi.AppendResponse{}, &logclient.AppendError{MayTakeEffect: true, Err: errors.New("answer lost")}
	}
	return vmapi.AppendResponse{First: first, Next: s.oldest + uint64(len(s.records))}, nil
}

func (l *fakeLog) Read(ctx context.Context, name string, from uint64, maxRecords int, wait time.Duration) (
	vmapi.ReadResponse, error) {
	l.mu.Lock()
	hook := l.onRead
	l.mu.Unlock()
	switch hook(name) {
	case faultNone:
	case faultHang:
		<-ctx.Done()
		return vmapi.ReadResponse{}, ctx.Err()
	default:
		return vmapi.ReadResponse{}, syscall.ECONNREFUSED
	}
	if err := ctx.Err(); err != nil { // the hook delayed the call beyond its timeout
		return vmapi.ReadResponse{}, err
	}
	timer := time.After(wait)
	for {
		l.mu.Lock()
		s, appended := l.stream(name), l.appended
		next := s.oldest + uint64(len(s.records))
		resp := vmapi.ReadResponse{Oldest: s.oldest, Next: next}
		for o := from; o >= s.oldest && o < next && len(resp.Records) < maxRecords; o++ {
			resp.Records = append(resp.Records, vmapi.LogRecord{Offset: o, Data: s.records[o-s.oldest]})
		}
		l.mu.Unlock()
		if from < resp.Oldest {
			return vmapi.ReadResponse{}, &logclient.GoneError{Oldest: resp.Oldest, Next: next}
		}
		if len(resp.Records) > 0 || wait == 0 {
			return resp, nil
		}
		select {
		case <-appended:
		case <-timer:
			return resp, nil
		case <-ctx.Done():
			return vmapi.ReadResponse{}, ctx.Err()
		}
	}
}

// testConfig returns a Config with short delays. No test depends on their length.
func testConfig(node string, l Log) Config {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return Config{
		Node: node, Log: l, Logger: logger, PollWait: 20 * time.Millisecond, ReadTimeout: 50 * time.Millisecond,
		AppendTimeout: 50 * time.Millisecond, MinRetryDelay: time.Millisecond, MaxRetryDelay: 5 * time.Millisecond,
		RankDelay: 5 * time.Millisecond, SnapshotCheckInterval: 2 * time.Millisecond,
	}
}

// start runs a follower until stop is called or the test ends.
func start(t testing.TB, cfg Config) (f *Follower, stop func()) {
	t.Helper()
	f, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return f, stop
}
