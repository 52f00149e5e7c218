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
	// fetchTimeout limits one request to a backend server.
	fetchTimeout = 5 * time.Second
	// pollInterval is the delay between polls of a backend server that still has running requests.
	pollInterval = 100 * time.Millisecond
)

// Runs combines the counts of the backend servers.
type Runs struct {
	Counts         map[string]int `json:"-"`
	Servers        int            `json:"servers"`
	Total          int            `json:"total"`
	MaxRunning     int            `json:"maxRunning"`     // maximum over the servers
	MaxConnections int            `json:"maxConnections"` // maximum over the servers
}

// FetchRuns waits until no backend server has running requests, at most until ctx is done, and combines their counts.
// It returns an error if a server does not respond, because the check would be incomplete without its counts.
func FetchRuns(ctx context.Context, addrs []string) (*Runs, error) {
	runs := &Runs{Counts: map[string]int{}}
	for _, addr := range addrs {
		serverRuns, err := waitUntilIdle(ctx, addr)
		if err != nil {
			return nil, errors.Wrapf(err, "fetch runs of %s", addr)
		}
		runs.Servers++
		runs.Total += serverRuns.Total
		runs.MaxRunning = max(runs.MaxRunning, serverRuns.MaxRunning)
		runs.MaxConnections = max(runs.MaxConnections, serverRuns.MaxConnections)
		for k, n := range serverRuns.Counts {
			runs.Counts[k] += n
		}
	}
	return runs, nil
}

func waitUntilIdle(ctx context.Context, addr string) (backend.Runs, error) {
	for {
		runs, err := FetchServerRuns(ctx, addr)
		if err != nil || runs.Running == 0 {
			return runs, err
		}
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return runs, errors.Errorf("%d requests are still running", runs.Running)
		}
	}
}

// FetchServerRuns returns the counts of one backend server.
func FetchServerRuns(ctx context.Context, addr string) (backend.Runs, error) {
	var runs backend.Runs
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
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
		return runs, errors.Errorf("GET /runs: unexpected status %d", resp.StatusCode)
	}
	return runs, json.Unmarshal(data, &runs)
}
