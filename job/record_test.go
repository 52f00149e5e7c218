package job

import (
	"testing"
	"time"
)

// TestInvalidStoredJobIsSkipped guards against one malformed record that ends every owner that loads it, and with it all
// pools of the shard.
func TestInvalidStoredJobIsSkipped(t *testing.T) {
	step := Step{Count: 1, Request: Resources{CPU: 100}}
	valid := &Spec{ID: "a", Pool: "p", Queue: "q", Attempts: 1, Steps: []Step{step}}
	badStep := step
	badStep.DependsOn = []int{7}
	invalid := &Spec{ID: "b", Pool: "p", Queue: "q", Attempts: 1, Steps: []Step{badStep}}
	finished := &Spec{ID: "c", Pool: "p", Queue: "q"}
	var records []Record
	for _, r := range []specRecord{
		{Phase: Active, Spec: valid}, {Phase: Active, Spec: invalid}, {Phase: Completed, Spec: finished},
	} {
		records = append(records, Record{Key: keySpec + r.Spec.ID, Value: encode(r)})
	}
	loaded := Decode(records)
	if len(loaded.Problems) != 1 {
		t.Errorf("problems: %v, want one", loaded.Problems)
	}
	now := Time{Steady: time.Hour, WallMs: 1000}
	p := New(Config{Pool: "p", FinishedRetention: time.Hour}, now)
	p.Restore(loaded, now)
	p.Tick(now)
	for id, want := range map[string]bool{"a": true, "b": false, "c": true} {
		if _, known := p.StateOf(id); known != want {
			t.Errorf("job %s: known %v, want %v", id, known, want)
		}
	}
}
