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

// Sizes of the fleet that do not grow with the workers.
const (
	pools     = 34
	customers = 670
	services  = 34
	zones     = 22
	rackSize  = 4
)

func workerName(i int) string { return fmt.Sprintf("worker-%05d", i) }
func poolName(i int) string   { return fmt.Sprintf("pool-%02d", i) }

// vmList lists the workers, all with the address of one fake backend server.
func vmList(workers int, backend string) []vmapi.VM {
	vms := make([]vmapi.VM, workers)
	for i := range vms {
		vms[i] = vmapi.VM{
			Name: workerName(i), Zone: fmt.Sprintf("zone-%02d", i%zones), Rack: fmt.Sprintf("rack-%04d", i/rackSize),
			Role: vmapi.RoleWorker, Addr: backend, State: vmapi.StateLive,
		}
	}
	return vms
}

type declared struct {
	key  resource.Key
	spec resource.Spec
}

func declarations(workers int) []declared {
	var all []declared
	add := func(kind resource.Kind, name string, spec resource.Spec) {
		all = append(all, declared{resource.Key{Kind: kind, Name: name}, spec})
	}
	for i := range pools {
		add(resource.KindPool, poolName(i), &resource.Pool{MinVMs: 1})
	}
	for i := range customers {
		add(resource.KindCustomer, fmt.Sprintf("team-%03d", i), &resource.Customer{
			Share: 1 + i%10, Quota: 100,
			AvailabilityBudget: map[string]resource.Budget{poolName(i % pools): {MaxUnavailable: 2}},
		})
	}
	for i := range services {
		add(resource.KindService, fmt.Sprintf("service-%02d", i), &resource.Service{Pool: poolName(i), MaxRunMs: 1000})
	}
	for i := range workers {
		add(resource.KindVM, workerName(i), &resource.VM{Pool: poolName(i % pools)})
	}
	return all
}

// publish appends the declarations to the log as an operator's node would.
func publish(ctx context.Context, log *logclient.Client, all []declared) error {
	next := uint64(1)
	for len(all) > 0 {
		n := min(len(all), vmapi.MaxAppendRecords)
		batch := make([][]byte, n)
		for i, d := range all[:n] {
			data, err := record(d, next)
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

func record(d declared, readPos uint64) ([]byte, error) {
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
