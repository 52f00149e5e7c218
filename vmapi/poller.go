package vmapi

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// acceptOlderListAfter is the number of consecutive older lists after which a list older than the current one is
// accepted. A single older list comes from a lagging replica; a series of them means that the platform's clock was set
// back.
const acceptOlderListAfter = 10

// PollerStatus holds statistics of the polls so far.
type PollerStatus struct {
	Polls       uint64
	Failures    uint64
	LastSuccess time.Time // zero before the first accepted list
	LastError   error     // nil when the last poll succeeded
}

// Poller polls the VM list and keeps the newest one. While the platform is unreachable or sends malformed lists, it keeps
// the last valid list.
type Poller struct {
	client   *Client
	interval time.Duration
	onChange func(VMList)
	log      logrus.FieldLogger

	pollMu sync.Mutex // serializes polls, so that onChange is called in order
	etag   string     // entity tag of list, guarded by pollMu

	mu                    sync.Mutex
	list                  VMList // written with pollMu and mu held
	hasList               bool
	consecutiveOlderLists int
	status                PollerStatus
}

// NewPoller returns a poller. An interval of 0 or less means one second. onChange is called with the first list and then
// whenever an entry changes, from the goroutine of Run or Poll, one call at a time; it may be nil and must not call Poll.
// The list passed to it is shared and must not be modified. A nil log means logrus.StandardLogger().
func NewPoller(client *Client, interval time.Duration, onChange func(VMList), log logrus.FieldLogger) *Poller {
	if interval <= 0 {
		interval = time.Second
	}
	if log == nil {
		log = logrus.StandardLogger()
	}
	return &Poller{client: client, interval: interval, onChange: onChange, log: log}
}

// Run polls immediately and then at each interval, until ctx is done.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		// The error is available from Status. The first error of a series is logged.
		_ = p.Poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Poll fetches the list once. After an error, the last valid list is kept.
func (p *Poller) Poll(ctx context.Context) error {
	p.pollMu.Lock()
	defer p.pollMu.Unlock()
	list, etag, unchanged, err := p.client.VMsIfChanged(ctx, p.etag)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if unchanged {
		list = p.list
	}
	changed, err := p.recordPoll(list, err)
	if err == nil {
		p.etag = etag
	}
	if changed && p.onChange != nil {
		p.onChange(list)
	}
	return err
}

// recordPoll stores the result of a poll and reports whether entries changed.
func (p *Poller) recordPoll(list VMList, err error) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status.Polls++
	if err == nil {
		err = p.checkNotOlder(list)
	}
	previouslyFailed := p.status.LastError != nil
	p.status.LastError = err
	if err != nil {
		p.status.Failures++
		if !previouslyFailed {
			p.log.Warnf("%v; continuing with the last valid VM list", err)
		}
		return false, err
	}
	if previouslyFailed {
		p.log.Infof("platform: VM list is available again; it has %d VMs", len(list.VMs))
	}
	changed := !p.hasList || !sameVMs(p.list, list)
	p.list = list
	p.hasList = true
	p.status.LastSuccess = time.Now()
	return changed, nil
}

// checkNotOlder returns an error if list is older than the current one, except for the last of acceptOlderListAfter
// consecutive older lists.
func (p *Poller) checkNotOlder(list VMList) error {
	if !p.hasList || !list.AsOf.Before(p.list.AsOf) {
		p.consecutiveOlderLists = 0
		return nil
	}
	p.consecutiveOlderLists++
	if p.consecutiveOlderLists >= acceptOlderListAfter {
		p.consecutiveOlderLists = 0
		return nil
	}
	return fmt.Errorf("platform: VM list as of %s is older than the current one (as of %s)",
		list.AsOf.Format(time.RFC3339Nano), p.list.AsOf.Format(time.RFC3339Nano))
}

// List returns the last valid list, sorted by name, and whether there is one. The list is shared and must not be
// modified.
func (p *Poller) List() (VMList, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list, p.hasList
}

// Status returns statistics of the polls so far.
func (p *Poller) Status() PollerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}
