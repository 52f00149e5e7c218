package job

import "time"

const (
	// ratioWeight is the weight of a new observation in the moving average of a queue's ratio of actual to declared run
	// time.
	ratioWeight = 0.05
	// minRatio and maxRatio bound the correction factor for declared run times.
	minRatio = 0.2
	maxRatio = 5.0
	// defaultEstimate is used for tasks without a declared run time.
	defaultEstimate = time.Second
)

// estimates corrects declared run times, which are off by up to 90%, by the observed run times of the queue's tasks.
type estimates struct {
	ratio map[string]float64 // by queue
}

func newEstimates() estimates { return estimates{ratio: make(map[string]float64)} }

// observe records the run time of a completed task.
func (e *estimates) observe(t *task, ran time.Duration) {
	declared := t.step.Estimate
	if declared <= 0 || t.step.LongRunning {
		return
	}
	r := min(maxRatio, max(minRatio, float64(ran)/float64(declared)))
	e.ratio[t.job.spec.Queue] += (r - e.ratioOf(t.job.spec.Queue)) * ratioWeight
}

func (e *estimates) ratioOf(queue string) float64 {
	r, ok := e.ratio[queue]
	if !ok {
		e.ratio[queue] = 1
		return 1
	}
	return r
}

// duration returns the expected run time of a task of a step.
func (e *estimates) duration(queue string, s *Step) time.Duration {
	declared := s.Estimate
	if declared <= 0 {
		declared = defaultEstimate
	}
	return time.Duration(float64(declared) * e.ratioOf(queue))
}

// objective returns the time after its submission within which a job should complete.
func (s *Spec) objective() time.Duration {
	return time.Duration(max(1, s.ObjectiveFactor)*float64(s.criticalPath())) + s.ObjectiveMargin
}

// remainingCriticalPath returns the expected length of the longest chain of unfinished steps of an occurrence.
func (p *Pool) remainingCriticalPath(j *jobState, o *occurrence) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(o.steps))
	for i := range o.steps {
		step := &j.spec.Steps[i]
		var earliestStart time.Duration
		for _, d := range step.DependsOn {
			earliestStart = max(earliestStart, ends[d])
		}
		ends[i] = earliestStart
		if o.unfinished[i] > 0 {
			ends[i] += p.estimates.duration(j.spec.Queue, step)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
