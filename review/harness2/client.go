package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// deadline is how long a client waits for a response.
const deadline = 3 * time.Second

// Host and path prefix of the queues of all cases.
const queueHost = "pule25.example"

func newClient() *http.Client {
	return &http.Client{Timeout: deadline, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
}

// step is a step of a job.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	MemMB         int64  `json:"memMb"`
	EstimateMs    int64  `json:"estimateMs"`
	DependsOn     []int  `json:"dependsOn,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
	Daemon        bool   `json:"daemon,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends a request to a node. The status is 0 if there was no answer.
func (f *fleet) call(n *node, method, path string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+n.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := f.client.Do(req)
	if err != nil {
		f.rec.line("client: %s %s at %s: no answer: %v", method, path, n.name, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	f.rec.line("client: %s %s at %s: %d %s", method, path, n.name, resp.StatusCode, bytes.TrimSpace(data))
	return resp.StatusCode, string(data)
}

// submit hands a job in at a node and reports whether it was accepted.
func (f *fleet) submit(n *node, prefix, id, spec string, steps ...step) bool {
	body, err := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	if err != nil {
		return false
	}
	status, _ := f.call(n, http.MethodPost, prefix+id, body)
	return status/100 == 2
}

func (f *fleet) anyNode() *node { return f.nodes[rand.IntN(len(f.nodes))] }
