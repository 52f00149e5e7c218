package platform

import (
	"fmt"
	"sort"
	"time"

	wire "github.com/berylwharf/berylwharf/vmapi"
)

// Capacity of a worker.
const (
	workerSlots    = 8
	workerCores    = 64
	workerMemoryMB = 256 << 10
)

type task struct {
	wire.Task
	lease time.Duration
	req   wire.TaskRequest
}

// worker is the state of one worker. It is guarded by the mutex of the server.
type worker struct {
	epoch uint64
	tasks map[string]*task
	usage *history[wire.Usage]
}

func newWorker() *worker {
	return &worker{tasks: map[string]*task{}, usage: newHistory(wire.Usage{})}
}

// expire removes the tasks whose lease has expired.
func (w *worker) expire(now time.Time) {
	var expired []*task
	for _, t := range w.tasks {
		if !now.Before(t.LeaseUntil) {
			expired = append(expired, t)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].LeaseUntil.Before(expired[j].LeaseUntil) })
	for _, t := range expired {
		delete(w.tasks, t.Task.Task)
		w.recordUsage(t.LeaseUntil)
	}
}

// recordUsage records the current usage as valid from the given time.
func (w *worker) recordUsage(at time.Time) {
	u := wire.Usage{Tasks: len(w.tasks)}
	for _, t := range w.tasks {
		u.Cores += t.Cores
		u.MemoryMB += t.MemoryMB
	}
	w.usage.set(at, u)
}

// start starts a task. Repeating the request for a running task has no effect, so that a client whose response was lost
// can retry. The error states why the task was refused.
func (w *worker) start(req wire.TaskRequest, now time.Time) error {
	w.expire(now)
	if req.Epoch < w.epoch {
		return fmt.Errorf("epoch %d is below the greatest seen, %d", req.Epoch, w.epoch)
	}
	w.epoch = req.Epoch
	if t, ok := w.tasks[req.Task]; ok {
		if t.req == req {
			return nil
		}
		return fmt.Errorf("task %q runs already with another request", req.Task)
	}
	cores, memory := req.Cores, req.MemoryMB
	for _, t := range w.tasks {
		cores += t.Cores
		memory += t.MemoryMB
	}
	if len(w.tasks) >= workerSlots || cores > workerCores || memory > workerMemoryMB {
		return fmt.Errorf("no room: %d of %d slots used; %d of %d cores and %d of %d MB needed",
			len(w.tasks), workerSlots, cores, workerCores, memory, workerMemoryMB)
	}
	lease := time.Duration(req.LeaseMs) * time.Millisecond
	w.tasks[req.Task] = &task{
		Task: wire.Task{
			Task: req.Task, Epoch: req.Epoch, State: wire.TaskRunning, LeaseUntil: now.Add(lease),
			Cores: req.Cores, MemoryMB: req.MemoryMB,
		},
		lease: lease,
		req:   req,
	}
	w.recordUsage(now)
	return nil
}

// applyAction executes an action on a task. found is false if the task never ran, was stopped or its lease has expired.
func (w *worker) applyAction(name, action string, now time.Time) (t wire.Task, found bool) {
	w.expire(now)
	target, ok := w.tasks[name]
	if !ok {
		return wire.Task{}, false
	}
	switch action {
	case "renew":
		target.LeaseUntil = now.Add(target.lease)
	case "checkpoint":
		target.Checkpoints++
		target.CheckpointAt = now
	case "throttle":
		target.State = wire.TaskThrottled
	case "stop":
		delete(w.tasks, name)
		w.recordUsage(now)
	}
	return target.Task, true
}

// stopAll ends all tasks, as a reboot does.
func (w *worker) stopAll(now time.Time) {
	w.expire(now)
	clear(w.tasks)
	w.recordUsage(now)
}

// describe returns the description of the worker, with its usage at now minus lag.
func (w *worker) describe(vm wire.VM, now time.Time, lag time.Duration) wire.Worker {
	w.expire(now)
	out := wire.Worker{
		Name: vm.Name, Zone: vm.Zone, Rack: vm.Rack,
		Slots: workerSlots, Cores: workerCores, MemoryMB: workerMemoryMB,
		Epoch: w.epoch, Tasks: []wire.Task{},
	}
	for _, t := range w.tasks {
		out.Tasks = append(out.Tasks, t.Task)
	}
	sort.Slice(out.Tasks, func(i, j int) bool { return out.Tasks[i].Task < out.Tasks[j].Task })
	out.Usage = w.usage.valueAt(now.Add(-lag))
	out.Usage.AsOf = now.Add(-lag)
	return out
}
