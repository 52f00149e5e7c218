package statelog

import (
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/berylwharf/berylwharf/resource"
)

func testID(n int) RecordID { return RecordID{0: 1, 14: byte(n >> 8), 15: byte(n)} }

func testMember(node, region string, incarnation uint64) *Member {
	return &Member{Node: node, VM: node, Zone: "zone-a", Region: region, PeerAddr: "127.0.0.1:1", Incarnation: incarnation}
}

func encode(t testing.TB, r *Record) []byte {
	t.Helper()
	data, err := encMode.Marshal(r) // without validation, so that tests can apply invalid records
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Guards against changes of the accept rule. Each file lists records and their outcomes, and also runs with a restore
// from a snapshot before each command. The commands put, delete, join and leave apply a record; "raw" applies
// hexadecimal bytes, "fill" applies n valid records to other keys, "state" prints the state.
func TestAcceptRule(t *testing.T) {
	datadriven.Walk(t, "testdata/accept", func(t *testing.T, path string) {
		for _, restored := range []bool{false, true} {
			s, auto := New(), 1000
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				if restored {
					s = roundTrip(t, s)
				}
				return runAccept(t, s, &auto, d)
			})
		}
	})
}

func roundTrip(t testing.TB, s *State) *State {
	t.Helper()
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	r, err := restore(data, s.window)
	if err != nil {
		t.Fatal(err)
	}
	if again, err := r.Encode(); err != nil || string(again) != string(data) || r.Hash() != s.Hash() {
		t.Fatalf("restored state differs: %v", err)
	}
	return r
}

func runAccept(t *testing.T, s *State, auto *int, d *datadriven.TestData) string {
	r := &Record{ReadPos: s.Next(), Author: "op"}
	id, n, region, inc := 0, 0, "region-1", uint64(1)
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "base", &r.BaseVersion)
	d.MaybeScanArgs(t, "read", &r.ReadPos)
	d.MaybeScanArgs(t, "author", &r.Author)
	d.MaybeScanArgs(t, "n", &n)
	d.MaybeScanArgs(t, "region", &region)
	d.MaybeScanArgs(t, "inc", &inc)
	r.ID = testID(id)
	name := ""
	if len(d.CmdArgs) > 0 {
		name = d.CmdArgs[0].Key
	}
	switch d.Cmd {
	case "put":
		r.Op, r.Key, r.Spec = OpPut, resource.Key{Kind: resource.KindVM, Name: name}, []byte(d.Input)
		if d.Input == "" {
			r.Spec = []byte(`{"pool":"p1"}`)
		}
	case "delete":
		r.Op, r.Key = OpDelete, resource.Key{Kind: resource.KindVM, Name: name}
	case "join":
		r.Op, r.Member = OpJoin, testMember(name, region, inc)
	case "leave":
		r.Op, r.Member = OpLeave, &Member{Node: name}
	case "raw":
		data, err := hex.DecodeString(d.Input)
		if err != nil {
			t.Fatal(err)
		}
		return outcomeText(s.Apply(s.Next(), data))
	case "fill":
		for range n {
			*auto++
			key := resource.Key{Kind: resource.KindPool, Name: fmt.Sprint("p", *auto)}
			s.Apply(s.Next(), encode(t, &Record{ID: testID(*auto), Op: OpPut, Key: key, ReadPos: s.Next(), Spec: []byte("{}")}))
		}
		return fmt.Sprintf("next %d", s.Next())
	case "state":
		return stateText(s.View())
	default:
		t.Fatalf("unknown command %q", d.Cmd)
	}
	return outcomeText(s.Apply(s.Next(), encode(t, r)))
}

func outcomeText(o Outcome) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s at %d", o.Status, o.Offset)
	if o.Duplicate {
		b.WriteString(", duplicate")
	}
	if o.Status == StatusConflict {
		fmt.Fprintf(&b, ", current %d, winner %d", o.CurrentVersion, int(o.WinnerID[14])<<8|int(o.WinnerID[15]))
	}
	if o.Message != "" && !o.Duplicate { // snapshots do not contain messages
		fmt.Fprintf(&b, ": %s", o.Message)
	}
	return b.String()
}

func stateText(v *View) string {
	var b strings.Builder
	fmt.Fprintf(&b, "next %d, %d resources\n", v.NextOffset, v.Len())
	for i := range 9 {
		if r := v.Get(resource.Key{Kind: resource.KindVM, Name: fmt.Sprint("vm-", i)}); r != nil {
			fmt.Fprintf(&b, "%s version %d by %s: %s\n", r.Name, r.Version, r.Author, r.Spec)
		}
	}
	for _, m := range v.Members {
		fmt.Fprintf(&b, "member %s incarnation %d version %d in %s\n", m.Node, m.Incarnation, m.Version, m.Region)
	}
	fmt.Fprintf(&b, "epochs %d, %d", v.Epoch("region-1"), v.Epoch("region-2"))
	return b.String()
}
