package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The cancel case: the store assigns all partitions anew at once, a client hands a job in at the new owner of the pool, and
// cancels it at another node: the earlier owner, which the store has not told yet.
const (
	rebalances        = 24
	rebalanceInterval = 3500 * time.Millisecond
	claimTimeout      = time.Second
	claimPoll         = 2 * time.Millisecond
	// quietTime is the time after the last cancellation from which no run of a cancelled job may be left. It covers
	// cancel_ms (3 s), stopMs (0.9 s) and the time in which the core becomes stable (3 s).
	quietTime = 12 * time.Second
)

func cancelCase() (options, scenario) {
	o, _ := kindCase()
	return o, playCancel
}

// cancelledJob is a job whose cancellation was acknowledged.
type cancelledJob struct {
	id     string
	at     time.Time
	status int
}

func playCancel(f *fleet, trouble bool) ([]string, error) {
	cancelled := make(map[string]cancelledJob)
	for range rebalances {
		next := time.Now().Add(rebalanceInterval)
		first, second, err := f.reassign(trouble)
		if err != nil {
			return nil, err
		}
		if j, ok := f.submitAndCancel(first, second); ok {
			cancelled[j.id] = j
		}
		time.Sleep(time.Until(next))
	}
	time.Sleep(quietTime)
	return f.runsOfCancelled(cancelled), nil
}

// reassign makes the store assign all partitions anew and waits until the pool's new owner has claimed its shard. It returns
// the new and the earlier owner. Without trouble it returns another node and the owner.
func (f *fleet) reassign(trouble bool) (owner, earlier *node, err error) {
	if earlier, err = f.owner(labelledPool); err != nil {
		return nil, nil, err
	}
	if !trouble {
		return f.anyNode(), earlier, nil
	}
	claim, err := f.claimRecord(labelledPool)
	if err != nil {
		return nil, nil, err
	}
	f.group.rebalance()
	f.rec.line("store: all partitions are assigned anew")
	if owner, err = f.owner(labelledPool); err != nil {
		return nil, nil, err
	}
	for end := time.Now().Add(claimTimeout); time.Now().Before(end); time.Sleep(claimPoll) {
		newest, err := f.claimRecord(labelledPool)
		if err != nil {
			return nil, nil, err
		}
		if newest != claim {
			f.rec.line("store: the shard of the pool has a new claim")
			break
		}
	}
	return owner, earlier, nil
}

// storeGet reads from the store's interface.
func (f *fleet) storeGet(query string, reply any) error {
	resp, err := f.client.Get("http://" + f.storeAddr + "/berylwharf/" + query)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(reply)
}

// shardOf returns the partition that holds the records of a pool.
func shardOf(pool string) int { return int(xxhash.Sum64String(pool) % shardCount) }

// claimRecord returns the newest claim of the shard of a pool.
func (f *fleet) claimRecord(pool string) (string, error) {
	var reply struct {
		Items []struct{ Key, Value string } `json:"items"`
	}
	if err := f.storeGet(fmt.Sprintf("log-newest?topic=keyed.jobs&part=%d", shardOf(pool)), &reply); err != nil {
		return "", err
	}
	for _, item := range reply.Items {
		if item.Key == "owner" {
			return item.Value, nil
		}
	}
	return "", fmt.Errorf("the shard of pool %s is not claimed", pool)
}

// owner returns the node to which the store assigns the shard of a pool.
func (f *fleet) owner(pool string) (*node, error) {
	var reply struct {
		Parts [][]any `json:"parts"`
	}
	if err := f.storeGet("log-owners?group=owners", &reply); err != nil {
		return nil, err
	}
	for _, row := range reply.Parts {
		for _, n := range f.nodes {
			if row[1] == float64(shardOf(pool)) && strings.HasPrefix(fmt.Sprint(row[2]), n.name+"@") {
				return n, nil
			}
		}
	}
	return nil, fmt.Errorf("the pool %s has no owner", pool)
}

// submitAndCancel hands a lasting job in at one node and cancels it at another as soon as it is accepted. It reports
// whether both were acknowledged.
func (f *fleet) submitAndCancel(first, second *node) (cancelledJob, bool) {
	j := cancelledJob{id: newID()}
	if !f.submit(first, plainPrefix, j.id, "lasting", step{Count: 5, CPU: 5300, MemMB: 27000, EstimateMs: 700, Daemon: true}) {
		return j, false
	}
	j.status, _ = f.call(second, http.MethodDelete, plainPrefix+j.id, nil)
	j.at = time.Now()
	return j, j.status/100 == 2 || j.status == http.StatusGone
}

// runsOfCancelled returns the runs of cancelled jobs that still go on.
func (f *fleet) runsOfCancelled(cancelled map[string]cancelledJob) []string {
	var out []string
	for _, r := range f.allRuns() {
		j, ok := cancelled[r.job()]
		if !ok || !r.endedAt.IsZero() {
			continue
		}
		out = append(out, fmt.Sprintf("UNASKED: run %d of %s on %s, started at %s, runs on %v after its job's cancelling was acknowledged with %d",
			r.run, r.task, r.worker, r.startedAt.Format(recordLayout), time.Since(j.at).Round(time.Millisecond), j.status))
	}
	return out
}
