package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	queueHost = "booking.example"
	// jobQueue is the queue of all jobs, jobPath its path prefix.
	jobQueue = "slot-match"
	jobPath  = "/" + jobQueue + "/"
	// timeBudget is how long a requester waits for an answer (X-Deadline-Ms).
	timeBudget = 3 * time.Second
	// maxAttempts is the number of attempts of a requester, the first one included.
	maxAttempts = 5
)

type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMB      int   `json:"memMb"`
	EstimateMs int   `json:"estimateMs"`
	DependsOn  []int `json:"dependsOn,omitempty"`
	Daemon     bool  `json:"daemon,omitempty"`
	MissBudget int   `json:"missBudget,omitempty"`
}

// requester hands jobs in and asks for their state, at all nodes in turn.
type requester struct {
	nodes  []*node
	record *recorder
	client http.Client

	mu       sync.Mutex
	next     int
	accepted map[string]time.Time
	unknown  []string // answers 410 for accepted jobs
	// askAfter is how long after its 200 a job is asked for; zero for never.
	askAfter time.Duration
}

func newRequester(nodes []*node, r *recorder) *requester {
	return &requester{nodes: nodes, record: r, accepted: make(map[string]time.Time)}
}

func (q *requester) nextNode() *node {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.next++
	return q.nodes[q.next%len(q.nodes)]
}

// call sends one request and returns the status, or 0 without an answer.
func (q *requester) call(n *node, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeBudget)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeBudget.Milliseconds()))
	resp, err := q.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// submit hands a job in. After no answer, a 502 or a 504 it sends the job again to another node. It reports whether the job
// was accepted.
func (q *requester) submit(id, spec string, steps []step) bool {
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	if err != nil {
		return false
	}
	for range maxAttempts {
		n := q.nextNode()
		status, _ := q.call(n, http.MethodPost, jobPath+id, body)
		q.record.add("requester", "POST %s at %s: %d", id, n.name, status)
		if status/100 == 2 {
			q.mu.Lock()
			q.accepted[id] = time.Now()
			q.mu.Unlock()
			if q.askAfter > 0 {
				q.askLater(id)
			}
			return true
		}
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// state asks one node for the state of a job.
func (q *requester) state(n *node, id string) (int, string) {
	status, data := q.call(n, http.MethodGet, jobPath+id, nil)
	var body struct {
		State string `json:"state"`
	}
	// A body that does not decode leaves the state empty.
	_ = json.Unmarshal(data, &body)
	return status, body.State
}

// askLater asks for the state of an accepted job after askAfter, and notes an answer 410. No job is ever cancelled.
func (q *requester) askLater(id string) {
	time.AfterFunc(q.askAfter, func() {
		n := q.nextNode()
		status, _ := q.state(n, id)
		if status != http.StatusGone {
			return
		}
		q.mu.Lock()
		defer q.mu.Unlock()
		q.unknown = append(q.unknown, fmt.Sprintf("job %s, accepted at %.3f s: GET at %s is answered 410 at %.3f s",
			id, q.record.seconds(q.accepted[id]), n.name, q.record.seconds(time.Now())))
	})
}

// findUnknown returns the answers 410 that askLater noted.
func (q *requester) findUnknown() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Clone(q.unknown)
}

// findLost asks for all accepted jobs and returns those that are unknown (410) or not completed.
func (q *requester) findLost() []string {
	var out []string
	q.mu.Lock()
	accepted := make(map[string]time.Time, len(q.accepted))
	for id, at := range q.accepted {
		accepted[id] = at
	}
	q.mu.Unlock()
	for id, at := range accepted {
		n := q.nextNode()
		status, state := q.state(n, id)
		if status == http.StatusOK && state == "completed" {
			continue
		}
		out = append(out, fmt.Sprintf("job %s, accepted at %.3f s: GET at %s answers %d, state %q", id, q.record.seconds(at), n.name, status, state))
	}
	return out
}
