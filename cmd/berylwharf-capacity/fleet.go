package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/logclient"
	"github.com/berylwharf/berylwharf/resource"
	"github.com/berylwharf/berylwharf/statelog"
	"github.com/berylwharf/berylwharf/vmapi"
)

// Fleet parameters that do not depend on the number of workers.
const (
	poolCount     = 34
	customerCount = 670
	serviceCount  = 34
	zoneCount     = 22
	rackSize      = 4
)

func workerName(i int) string { return fmt.Sprintf("worker-%05d", i) }
func poolName(i int) string   { return fmt.Sprintf("pool-%02d", i) }

// vmList returns the VM list. All workers have the address of the same fake backend server.
func vmList(workers int, backend string) []vmapi.VM {
	vms := make([]vmapi.VM, workers)
	for i := range vms {
		vms[i] = vmapi.VM{
			Name: workerName(i), Zone: fmt.Sprintf("zone-%02d", i%zoneCount), Rack: fmt.Sprintf("rack-%04d", i/rackSize),
			Role: vmapi.RoleWorker, Addr: backend, State: vmapi.StateLive,
		}
	}
	return vms
}

type declaration struct {
	key  resource.Key
	spec resource.Spec
}

func declarations(workers int) []declaration {
	var all []declaration
	add := func(kind resource.Kind, name string, spec resource.Spec) {
		all = append(all, declaration{resource.Key{Kind: kind, Name: name}, spec})
	}
	for i := range poolCount {
		add(resource.KindPool, poolName(i), &resource.Pool{MinVMs: 1})
	}
	for i := range customerCount {
		add(resource.KindCustomer, fmt.Sprintf("team-%03d", i), &resource.Customer{
			Share: 1 + i%10, Quota: 100,
			AvailabilityBudget: map[string]resource.Budget{poolName(i % poolCount): {MaxUnavailable: 2}},
		})
	}
	for i := range serviceCount {
		add(resource.KindService, fmt.Sprintf("service-%02d", i), &resource.Service{Pool: poolName(i), MaxRunMs: 1000})
	}
	for i := range workers {
		add(resource.KindVM, workerName(i), &resource.VM{Pool: poolName(i % poolCount)})
	}
	return all
}

// publish appends the declarations to the log in batches, as a node does for an operator.
func publish(ctx context.Context, log *logclient.Client, all []declaration) error {
	next := uint64(1)
	for len(all) > 0 {
		n := min(len(all), vmapi.MaxAppendRecords)
		batch := make([][]byte, n)
		for i, d := range all[:n] {
			data, err := encodeRecord(d, next)
			if err != nil {
				return err
			}
			batch[i] = data
		}
		resp, err := log.Append(ctx, statelog.StreamConfig, batch)
		if err != nil {
			return errors.Wrap(err, "publish")
		}
		next, all = resp.Next, all[n:]
	}
	return nil
}

func encodeRecord(d declaration, readPos uint64) ([]byte, error) {
	spec, err := json.Marshal(d.spec)
	if err != nil {
		return nil, err
	}
	if spec, err = resource.Canonical(d.key, spec); err != nil {
		return nil, err
	}
	r := &statelog.Record{
		Op: statelog.OpPut, Key: d.key, ReadPos: readPos, Author: "operator@example", Spec: spec,
		UnixMsec: time.Now().UnixMilli(),
	}
	if _, err := rand.Read(r.ID[:]); err != nil {
		return nil, err
	}
	return statelog.EncodeRecord(r)
}
