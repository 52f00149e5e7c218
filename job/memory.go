package job

import "sync"

// Estimates of the memory that jobs take, in bytes.
const (
	// jobMemory is that of a job without its steps, which is kept for a while after its end.
	jobMemory = 768
	// stepMemory is that of a step without its strings.
	stepMemory = 256
	// taskMemory is that of a task with its run and the orders for it.
	taskMemory = 512
)

const (
	// smallJobMemory is the size in bytes of the largest job that counts as small.
	smallJobMemory = 64 << 10
	// smallJobFactor is how much of the free memory the jobs of one flow may take by small jobs.
	smallJobFactor = 4
)

// MemoryBudget limits the memory that the jobs of several pools take together. It is safe for concurrent use. A nil budget has no
// limit.
//
// A flow is the jobs of one customer or, without customers, of one queue. Each flow may take as much memory as is free, and
// smallJobFactor times as much by small jobs. So one flow with very many or large jobs leaves room for small jobs, and for those
// of other flows (dynamic thresholds: A. K. Choudhury, E. L. Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet
// Switches", IEEE/ACM Transactions on Networking 6(2), 1998).
type MemoryBudget struct {
	limit int64 // bytes

	mu     sync.Mutex
	used   int64
	byFlow map[string]int64
}

// NewMemoryBudget returns a budget of limit bytes.
func NewMemoryBudget(limit int64) *MemoryBudget {
	return &MemoryBudget{limit: limit, byFlow: make(map[string]int64)}
}

// Used returns the memory that is in use, in bytes.
func (b *MemoryBudget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Limit returns the size of the budget in bytes.
func (b *MemoryBudget) Limit() int64 { return b.limit }

// admits reports whether a flow may take n bytes more.
func (b *MemoryBudget) admits(flow string, n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.limit - b.used - n
	if n <= smallJobMemory {
		return free >= 0 && b.byFlow[flow]+n <= smallJobFactor*free
	}
	return b.byFlow[flow]+n <= free
}

// add changes the memory of a flow by n bytes.
func (b *MemoryBudget) add(flow string, n int64) {
	if b == nil || n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += n
	if b.byFlow[flow] += n; b.byFlow[flow] == 0 {
		delete(b.byFlow, flow)
	}
}

// flow returns the flow of a job.
func (s *Spec) flow() string {
	if s.Customer != "" {
		return "customer " + s.Customer
	}
	return "queue " + s.Queue
}

// memory returns the estimated memory of a job that has the given number of occurrences.
func (s *Spec) memory(occurrences int) int64 {
	n := jobMemory + len(s.ID) + len(s.Payload) + len(s.Steps)*stepMemory + occurrences*s.tasks()*taskMemory
	for i := range s.Steps {
		step := &s.Steps[i]
		n += len(step.Label) + len(step.DataRack) + len(step.Image) + 8*len(step.DependsOn)
	}
	return int64(n)
}

// countMemory updates the memory that is counted for a job. An open job counts with at least one occurrence.
func (p *Pool) countMemory(j *jobState) {
	occurrences := len(j.occurrences)
	if j.phase == Active {
		occurrences = max(1, occurrences)
	}
	p.setMemory(j, j.spec.memory(occurrences))
}

// setMemory sets the memory that is counted for a job, in bytes.
func (p *Pool) setMemory(j *jobState, n int64) {
	p.cfg.Memory.add(j.spec.flow(), n-j.memory)
	j.memory = n
}

// ReleaseMemory returns the memory of all jobs to the budget. The pool must not be used afterwards.
func (p *Pool) ReleaseMemory() {
	for _, j := range p.jobs {
		p.setMemory(j, 0)
	}
}
