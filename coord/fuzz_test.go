package coord

import (
	"testing"
	"time"

	"github.com/berylwharf/berylwharf/claims"
	"github.com/berylwharf/berylwharf/membership"
	"github.com/berylwharf/berylwharf/peer"
	"github.com/berylwharf/berylwharf/slots"
	"github.com/berylwharf/berylwharf/statelog"
)

func addSeeds(f *testing.F, values ...any) {
	for _, v := range values {
		b, err := peer.Encode(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add([]byte(b))
	}
}

// FuzzSlots guards against a message from an authenticated peer that crashes the slots state machine or makes it hold
// more slots than a worker has.
func FuzzSlots(f *testing.F) {
	addSeeds(f,
		slots.Message{Kind: slots.KindAcquire, Epoch: 1, Worker: "w", Count: 9, Seq: 1},
		slots.Message{Kind: slots.KindGrant, Epoch: 1, Worker: "w", Slot: 7, Serial: slots.Serial{Epoch: 1, N: 2}},
		slots.Message{Kind: slots.KindReport, Epoch: 1, RemovalsKnown: true, Holdings: []slots.Holding{{Worker: "w", Slot: 1}}},
	)
	set := membership.NewSet(1, []statelog.Member{{Node: "a", Incarnation: 1}, {Node: "b", Incarnation: 1}})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeSlots(b)
		if err != nil {
			return
		}
		now := time.Unix(0, 0)
		n := slots.NewNode("a", time.Second)
		n.SetEpoch(set, false, true, func(string, uint64) bool { return true }, now)
		m.Epoch = 1
		for range 3 {
			n.Receive("b", m, now)
			n.Tick(now.Add(time.Second))
		}
		if c := n.Counts(); c.Out+c.Quarantined > c.Workers*slots.PerWorker || c.Held > slots.PerWorker {
			t.Fatalf("%+v", c)
		}
	})
}

// FuzzClaims guards against a claim request or outcome that crashes a home node or is accepted in the name of another
// node.
func FuzzClaims(f *testing.F) {
	k := claims.Key{Customer: "c", Service: "s", ID: "id"}
	id := claims.AttemptID{Node: "b", Incarnation: 1, Seq: 1}
	addSeeds(f, claims.Request{Key: k, First: true, Epoch: 1, Attempt: id},
		claims.Outcome{Key: k, Attempt: id, Phase: claims.PhaseDone, Response: &claims.StoredResponse{Status: 200, Body: []byte("x")}})
	f.Fuzz(func(t *testing.T, b []byte) {
		table := claims.NewTable(2, 100)
		if r, err := decodeClaim("b", b); err == nil {
			if r.Attempt.Node != "b" {
				t.Fatalf("accepted %+v", r)
			}
			table.Claim(r, claims.Coverage{EarlierHomesInactive: true}, time.Unix(0, 0))
		}
		if d, err := decodeClaimDone("b", b); err == nil {
			table.Finish(d, time.Unix(0, 0))
		}
		if table.ResponseBytes() > 100 || table.Len() > 2 {
			t.Fatalf("%d claims, %d bytes", table.Len(), table.ResponseBytes())
		}
	})
}

// FuzzRecords guards against a records request that crashes the serving node.
func FuzzRecords(f *testing.F) {
	addSeeds(f, recordsRequest{From: 5}, recordsRequest{WantState: true, Next: 77, Pos: 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := decodeRecordsRequest(b)
		if err != nil {
			return
		}
		var s stateCache
		if _, err := s.chunk(&fakeRecords{state: []byte("state")}, r, time.Unix(0, 0)); err != nil {
			t.Fatal(err)
		}
	})
}
