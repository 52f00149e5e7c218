package jobmanager

import (
	"context"
	"time"

	"github.com/berylwharf/berylwharf/job"
)

// syncPools creates the pools that are configured or have stored jobs, and passes them the directory.
func (s *shard) syncPools(now job.Time) {
	for _, name := range s.node.poolsOf(s.number) {
		s.pool(name, now)
	}
	for _, lj := range s.loaded.Specs {
		s.pool(lj.Spec.Pool, now)
	}
	s.loaded.Specs = nil
	s.syncCustomers()
	entries, version := s.node.directory()
	for name, p := range s.pools {
		if s.directoryVersions[name] != version {
			s.directoryVersions[name] = version
			p.UpdateDirectory(entries[name], now)
		}
	}
}

// syncCustomers passes the customers of the configuration to the pools.
func (s *shard) syncCustomers() {
	config := s.node.Config()
	if config == nil {
		return
	}
	for name, p := range s.pools {
		if s.customersVersions[name] != config.Version {
			s.customersVersions[name] = config.Version
			p.SetCustomers(config.customerLimits())
			p.SetCaps(config.Version)
			p.SetCustomersVersion(config.Version)
		}
	}
}

// customerLimits returns the limits of the customers by name.
func (c *Config) customerLimits() map[string]job.CustomerLimits {
	limits := make(map[string]job.CustomerLimits, len(c.Customers))
	for _, customer := range c.Customers {
		limits[customer.Name] = customer.Limits
	}
	return limits
}

// pool returns a pool of the shard and creates it if necessary.
func (s *shard) pool(name string, now job.Time) *job.Pool {
	if p := s.pools[name]; p != nil {
		return p
	}
	limits := s.node.settings.Limits
	lease := limits.leaseBound()
	inheritedFleetTimeout := time.Duration(0)
	if s.epoch > 1 {
		inheritedFleetTimeout = fleetInterval + loadTimeout + machineTimeout
	}
	p := job.New(job.Config{
		Pool:                  name,
		OwnerEpoch:            s.epoch,
		AwaitCaps:             true,
		MinRunNumber:          1 + int(s.epoch-1)*runsPerEpoch,
		MaxLease:              lease,
		InheritedLease:        membershipTTL + lease,
		InheritedStopTimeout:  orderTimeout + time.Duration(limits.StopMs)*time.Millisecond,
		InheritedFleetTimeout: inheritedFleetTimeout,
		FinishedRetention:     time.Duration(limits.StatusS * float64(time.Second)),
		CrossRackFactor:       limits.CrossRackFactor,
		RecordBytes:           limits.recordBytes(),
		Memory:                s.node.jobMemory,
		IgnoreInterference:    !s.node.settings.LearnInterference,
	}, now)
	p.Restore(s.loaded, now)
	s.pools[name] = p
	return p
}

// syncLinks opens a link to each worker of a pool and closes links to workers that the pool has forgotten.
func (s *shard) syncLinks(pool string, p *job.Pool, now job.Time) {
	changed := s.workersVersions[pool] != p.WorkersVersion()
	if !changed && now.Steady-s.relaysAssignedAt[pool] < relayAssignInterval {
		return
	}
	s.workersVersions[pool] = p.WorkersVersion()
	s.relaysAssignedAt[pool] = now.Steady
	workers := p.Workers()
	defer s.assignPoolRelays(pool, workers)
	known := make(map[string]bool, len(workers))
	for _, w := range workers {
		known[w.Info.ID] = true
		if l := s.links[w.Info.ID]; l != nil {
			l.status.Info = w.Info
			continue
		}
		l := newLink(s, p, w.Info.ID)
		l.status = w
		ctx, cancel := context.WithCancel(s.ctx)
		l.cancel = cancel
		s.links[w.Info.ID] = l
		s.node.wg.Go(func() { l.run(ctx) })
	}
	for id, l := range s.links {
		if l.pool == p && !known[id] {
			l.cancel()
			delete(s.links, id)
		}
	}
}
