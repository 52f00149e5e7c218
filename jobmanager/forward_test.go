package jobmanager

import (
	"context"
	"testing"

	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/job"
	"github.com/berylwharf/berylwharf/peer"
)

// TestMalformedSubmissionIsRejected guards against a submission of another node that makes the owner of a pool panic.
func TestMalformedSubmissionIsRejected(t *testing.T) {
	s := newTestShard(t, &recordingStore{})
	badStep := testSpec("a")
	badStep.Steps[0].DependsOn = []int{9}
	for name, c := range map[string]call{
		"no job":       {Pool: "p"},
		"another pool": {Pool: "other", Spec: testSpec("a")},
		"no steps":     {Pool: "p", Spec: &job.Spec{ID: "a", Pool: "p"}},
		"dependsOn":    {Pool: "p", Spec: badStep},
	} {
		body, err := peer.Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.node.handleCall(context.Background(), typeSubmit, body); !errors.Is(err, peer.ErrMalformed) {
			t.Errorf("%s: error %v, want a malformed message", name, err)
		}
	}
}

// TestLoadingShardAnswersAtOnce guards against callers that learn at their deadline only that their call may have run, because the
// new owner of the shard was still loading it.
func TestLoadingShardAnswersAtOnce(t *testing.T) {
	n := newTestShard(t, &recordingStore{}).node
	if r := n.serve(context.Background(), newShard(n, 1), typeState, call{Pool: "p", ID: "j"}); r.Code != codeNotOwner {
		t.Errorf("code %d, want %d", r.Code, codeNotOwner)
	}
}
