package jobmanager

import (
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/berylwharf/berylwharf/job"
)

// logQueueSize is the number of log lines that may wait to be written. Further lines are dropped and counted, so that
// logging never blocks.
const logQueueSize = 4096

// maxClientText is the length in bytes to which text of clients is cut. Lines that wait would otherwise hold much memory.
const maxClientText = 256

// LogEvent is one line of the log. Zero fields are omitted.
type LogEvent struct {
	Component string // prefix of the message
	Event     string // text of the message after the prefix
	Job       string // at most maxClientText bytes, since it may come from a client
	Queue     string // likewise
	Customer  string
	Pool      string
	Task      string
	Run       int
	Worker    string
	Shard     int
	// Epoch is the epoch of the shard. In the event "node: shards assigned" it is the generation of the group, in the events
	// "config: ...", "queue: ...", "keys: ..." and "callers: refused" the version of the configuration, and in the events about waves and machines
	// the number of the wave.
	Epoch  int64
	Reason string // written under the key "why"
	// AgeMs is a duration in milliseconds:
	//   - "callers: refused": since the request arrived
	//   - "job: job refused", "job: job refused over rate", "job: job refused over share",
	//     "job: job refused for memory": until capacity is expected
	//   - "job: job waits", "job: job completed", "job: job failed", "job: job cancelled": since the job was accepted
	//   - "job: run ordered": since the task could start
	//   - "job: advice received": since the request for advice was sent
	//   - "shard: taken over": duration of the takeover
	//   - "fleet: controller may send orders": until the controller may send orders
	//   - "config: applied": since the response that contained the version began to arrive
	//   - "config: behind": since the time at which the oldest record that the node has not applied may have been there
	//   - "node: waits for strong members", "node: taking over from strong members": since a strong member was last proved alive
	//   - "keys: call refused": since the beginning of the last read that showed all of the operators' records; -1 if there is none
	AgeMs int64
	// Count is a number whose meaning depends on the event:
	//   - "callers: refused": HTTP status of the response
	//   - "job: start failed", "job: stop failed": result of the order, a job.Result
	//   - "job: run paced": speed in percent of full speed
	//   - "job: worker adopted": running tasks in the worker's report
	//   - "job: advice received": tickets
	//   - "advice: no answer": workers that the request named
	//   - "node: shards assigned": shards assigned to the node
	//   - "node: shards released": shards that the node owned
	//   - "shard: taken over": jobs loaded
	//   - "config: applied": routes
	//   - "config: behind": operators' records that the node has not applied
	//   - "queue: taken over": jobs that earlier pools know
	//   - "fleet: wave declared": machines of the wave
	//   - "fleet: pool size": machines in the pool
	//   - "fleet: machine moved", "fleet: machine under maintenance": result of the order, a fleet.Result
	Count int

	at time.Time
}

// Log writes structured log lines from its own goroutine.
type Log struct {
	logger  *logrus.Logger
	queue   chan LogEvent
	dropped atomic.Int64
	node    string
	wg      sync.WaitGroup
}

// NewLog returns a log that writes JSON lines to out.
func NewLog(out io.Writer, node string) *Log {
	l := &Log{logger: logrus.New(), queue: make(chan LogEvent, logQueueSize), node: node}
	l.logger.SetOutput(out)
	l.logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	l.wg.Go(l.write)
	return l
}

// Event queues a line for writing. It never blocks.
func (l *Log) Event(e LogEvent) {
	e.at = time.Now()
	e.Job, e.Queue = cutClientText(e.Job), cutClientText(e.Queue)
	select {
	case l.queue <- e:
	default:
		l.dropped.Add(1)
	}
}

// cutClientText returns a copy of the beginning of s, so that a line does not keep the whole request in memory.
func cutClientText(s string) string { return strings.Clone(s[:min(len(s), maxClientText)]) }

// Close writes all queued lines and stops the log.
func (l *Log) Close() {
	close(l.queue)
	l.wg.Wait()
}

func (l *Log) write() {
	for e := range l.queue {
		if n := l.dropped.Swap(0); n > 0 {
			l.logger.WithFields(logrus.Fields{"node": l.node, "count": n}).Warn("log: lines dropped")
		}
		l.logger.WithTime(e.at).WithFields(l.fields(e)).Info(e.Component + ": " + e.Event)
	}
}

func (l *Log) fields(e LogEvent) logrus.Fields {
	f := logrus.Fields{"node": l.node}
	set := func(key, value string) {
		if value != "" {
			f[key] = value
		}
	}
	number := func(key string, value int64) {
		if value != 0 {
			f[key] = value
		}
	}
	set("job", e.Job)
	set("queue", e.Queue)
	set("customer", e.Customer)
	set("pool", e.Pool)
	set("task", e.Task)
	set("worker", e.Worker)
	set("why", e.Reason)
	number("run", int64(e.Run))
	number("shard", int64(e.Shard))
	number("epoch", e.Epoch)
	number("ageMs", e.AgeMs)
	number("count", int64(e.Count))
	return f
}

// logJob logs and counts an event of a pool.
func (n *Node) logJob(pool string, epoch int64, e job.Event) {
	le := LogEvent{
		Component: "job", Event: e.Kind, Job: e.Job, Queue: e.Queue, Pool: pool, Run: e.Run, Worker: e.Worker, Epoch: epoch,
		Reason: e.Reason, AgeMs: e.AgeMs, Count: e.Count,
	}
	if e.Task.Job != "" {
		le.Task = e.Task.String()
		le.Job = e.Task.Job
	}
	n.metrics.count(e.Kind)
	n.log.Event(le)
}
