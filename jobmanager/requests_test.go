package jobmanager

import (
	"context"
	"testing"

	"github.com/berylwharf/berylwharf/job"
)

// replacedStore refuses the appends of an owner that has been replaced.
type replacedStore struct{ recordingStore }

func (s *replacedStore) Append(context.Context, int, int64, int64, []job.Record) error {
	return ErrFenced
}

// TestReplacedOwnerDeniesNoJob guards against a replaced owner that denies a job which its successor has accepted. A caller
// took the answer as the acknowledgement of its cancellation, and the job ran on.
func TestReplacedOwnerDeniesNoJob(t *testing.T) {
	c := call{Pool: "p", ID: "unknown"}
	for name, replaced := range map[string]bool{"owner": false, "replaced owner": true} {
		t.Run(name, func(t *testing.T) {
			var store Store = &recordingStore{}
			if replaced {
				store = &replacedStore{}
			}
			if r := outcomeReply(newTestShard(t, store).cancelJob(t.Context(), c)); (r.Code == codeUnknown) == replaced {
				t.Errorf("the cancellation is answered with code %d", r.Code)
			}
			if r := newTestShard(t, store).jobState(t.Context(), c); (r.Code == codeUnknown) == replaced {
				t.Errorf("the request for the state is answered with code %d", r.Code)
			}
		})
	}
}
