package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/standin/backend"
)

const (
	// runsTimeout bounds one call of a backend server.
	runsTimeout = 5 * time.Second
	// runsPoll is the pause between calls while requests are still running.
	runsPoll = 100 * time.Millisecond
)

// Runs sums up what the backend servers counted.
type Runs struct {
	Counts         map[string]int `json:"-"`
	Servers        int            `json:"servers"`
	Total          int            `json:"total"`
	MaxRunning     int            `json:"maxRunning"`     // greatest of one server
	MaxConnections int            `json:"maxConnections"` // greatest of one server
}

// FetchRuns waits until no request runs on any of the backend servers, at most until ctx ends, and sums up their counts.
// A server that does not answer is an error, because the check would not be complete without it.
func FetchRuns(ctx context.Context, addrs []string) (*Runs, error) {
	runs := &Runs{Counts: map[string]int{}}
	for _, addr := range addrs {
		one, err := idleRuns(ctx, addr)
		if err != nil {
			return nil, errors.Wrapf(err, "runs of %s", addr)
		}
		runs.Servers++
		runs.Total += one.Total
		runs.MaxRunning = max(runs.MaxRunning, one.MaxRunning)
		runs.MaxConnections = max(runs.MaxConnections, one.MaxConnections)
		for k, n := range one.Counts {
			runs.Counts[k] += n
		}
	}
	return runs, nil
}

func idleRuns(ctx context.Context, addr string) (backend.Runs, error) {
	for {
		one, err := FetchServerRuns(ctx, addr)
		if err != nil || one.Running == 0 {
			return one, err
		}
		if !sleepUntil(ctx, time.Now().Add(runsPoll)) {
			return one, errors.Errorf("%d requests still run", one.Running)
		}
	}
}

// FetchServerRuns returns the counts of one backend server.
func FetchServerRuns(ctx context.Context, addr string) (backend.Runs, error) {
	var runs backend.Runs
	ctx, cancel := context.WithTimeout(ctx, runsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/runs", nil)
	if err != nil {
		return runs, err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return runs, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return runs, err
	}
	if resp.StatusCode != http.StatusOK {
		return runs, errors.Errorf("status %d", resp.StatusCode)
	}
	return runs, json.Unmarshal(data, &runs)
}
