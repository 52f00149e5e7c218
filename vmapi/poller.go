package vmapi

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// olderListsToAccept is the number of polls in a row after which a list older than the one in use is taken. A single
// older list comes from a lagging replica; a steady run of them means that the platform's clock was set back.
const olderListsToAccept = 10

// PollerStatus describes the polls so far.
type PollerStatus struct {
	Polls       uint64
	Failures    uint64
	LastSuccess time.Time // zero before the first accepted list
	LastError   error     // nil when the last poll succeeded
}

// Poller keeps the newest VM list. When the platform is down or sends a malformed list, the last good list stays in use.
type Poller struct {
	client   *Client
	interval time.Duration
	onChange func(VMList)
	log      logrus.FieldLogger

	pollMu sync.Mutex // serialises polls, so that callbacks come in order
	tag    string     // entity tag of list, guarded by pollMu

	mu     sync.Mutex
	list   VMList // written with pollMu and mu held
	have   bool
	older  int
	status PollerStatus
}

// NewPoller returns a poller. onChange is called with the first list and then whenever an entry changes, from the
// goroutine of Run or Poll, one call at a time; it may be nil and must not call Poll. The list passed to it is shared and
// must not be modified. A nil log stands for logrus.StandardLogger().
func NewPoller(client *Client, interval time.Duration, onChange func(VMList), log logrus.FieldLogger) *Poller {
	if interval <= 0 {
		interval = time.Second
	}
	if log == nil {
		log = logrus.StandardLogger()
	}
	return &Poller{client: client, interval: interval, onChange: onChange, log: log}
}

// Run polls until ctx ends, at once and then at each interval.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		// The error is kept in Status and logged when it begins.
		_ = p.Poll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Poll fetches the list once. After an error the last good list stays in use.
func (p *Poller) Poll(ctx context.Context) error {
	p.pollMu.Lock()
	defer p.pollMu.Unlock()
	list, tag, unchanged, err := p.client.VMsIfChanged(ctx, p.tag)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if unchanged {
		list = p.list
	}
	changed, err := p.record(list, err)
	if err == nil {
		p.tag = tag
	}
	if changed && p.onChange != nil {
		p.onChange(list)
	}
	return err
}

// record stores the result of a poll and reports whether entries changed.
func (p *Poller) record(list VMList, err error) (bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status.Polls++
	if err == nil {
		err = p.checkAge(list)
	}
	failedBefore := p.status.LastError != nil
	p.status.LastError = err
	if err != nil {
		p.status.Failures++
		if !failedBefore {
			p.log.Warnf("%v; the last VM list stays in use", err)
		}
		return false, err
	}
	if failedBefore {
		p.log.Infof("platform: VM list is available again with %d VMs", len(list.VMs))
	}
	changed := !p.have || !sameVMs(p.list, list)
	p.list = list
	p.have = true
	p.status.LastSuccess = time.Now()
	return changed, nil
}

func (p *Poller) checkAge(list VMList) error {
	if !p.have || !list.AsOf.Before(p.list.AsOf) {
		p.older = 0
		return nil
	}
	p.older++
	if p.older >= olderListsToAccept {
		p.older = 0
		return nil
	}
	return fmt.Errorf("platform: VM list as of %s is older than the one in use (%s)",
		list.AsOf.Format(time.RFC3339Nano), p.list.AsOf.Format(time.RFC3339Nano))
}

// List returns the last good list, sorted by name, and whether there is one. The list is shared and must not be
// modified.
func (p *Poller) List() (VMList, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.list, p.have
}

// Status returns counts and times of the polls so far.
func (p *Poller) Status() PollerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}
