package jobmanager

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// blockedWriter blocks until it is released, like a pipe without a reader.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

// TestLogNeverBlocks guards against scheduling that blocks because nobody reads the standard output.
func TestLogNeverBlocks(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	log := NewLog(w, "n")
	written := make(chan struct{})
	go func() {
		for range logQueueSize * 2 {
			log.Event(LogEvent{Component: "test", Event: "line"})
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(time.Minute):
		t.Fatal("the log blocks")
	}
	close(w.release)
	log.Event(LogEvent{Component: "test", Event: "later", Job: strings.Repeat("x", 1000), Queue: strings.Repeat("x", 1000)})
	log.Close()
	if out := w.String(); !strings.Contains(out, "lines dropped") {
		t.Error("dropped lines are not reported")
	} else if strings.Contains(out, strings.Repeat("x", maxClientText+1)) {
		t.Error("a line holds more of a client's text than permitted")
	}
}
