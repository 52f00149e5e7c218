package platform

import (
	"fmt"
	"sort"
	"time"

	wire "github.com/berylwharf/berylwharf/vmapi"
)

// Size of a worker.
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

// worker is the state of one worker. The server's mutex guards it.
type worker struct {
	epoch uint64
	tasks map[string]*task
	usage *lagged[wire.Usage]
}

func newWorker() *worker {
	return &worker{tasks: map[string]*task{}, usage: newLagged(wire.Usage{})}
}

// expire removes the tasks whose lease has ended.
func (w *worker) expire(now time.Time) {
	var ended []*task
	for _, t := range w.tasks {
		if !now.Before(t.LeaseUntil) {
			ended = append(ended, t)
		}
	}
	sort.Slice(ended, func(i, j int) bool { return ended[i].LeaseUntil.Before(ended[j].LeaseUntil) })
	for _, t := range ended {
		delete(w.tasks, t.Task.Task)
		w.sample(t.LeaseUntil)
	}
}

// sample records the usage from the given time on.
func (w *worker) sample(at time.Time) {
	u := wire.Usage{Tasks: len(w.tasks)}
	for _, t := range w.tasks {
		u.Cores += t.Cores
		u.MemoryMB += t.MemoryMB
	}
	w.usage.set(at, u)
}

// start starts a task. A repeated request for a running task has no further effect, so that a client whose answer was
// lost can ask again. The error states why the task was refused.
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
	w.sample(now)
	return nil
}

// act applies a verb to a task. found is false when the task's lease has expired or it never ran.
func (w *worker) act(name, verb string, now time.Time) (t wire.Task, found bool) {
	w.expire(now)
	running, ok := w.tasks[name]
	if !ok {
		return wire.Task{}, false
	}
	switch verb {
	case "renew":
		running.LeaseUntil = now.Add(running.lease)
	case "checkpoint":
		running.Checkpoints++
		running.CheckpointAt = now
	case "throttle":
		running.State = wire.TaskThrottled
	case "stop":
		delete(w.tasks, name)
		w.sample(now)
	}
	return running.Task, true
}

// stopAll ends all tasks, as a reboot does.
func (w *worker) stopAll(now time.Time) {
	w.expire(now)
	clear(w.tasks)
	w.sample(now)
}

// view describes the worker, with its usage as of now minus lag.
func (w *worker) view(vm wire.VM, now time.Time, lag time.Duration) wire.Worker {
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
	out.Usage = w.usage.asOf(now.Add(-lag))
	out.Usage.AsOf = now.Add(-lag)
	return out
}
