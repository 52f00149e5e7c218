package claims

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/google/uuid"
)

var t0 = time.Unix(1_700_000_000, 0)

// uuidV7 returns a version 7 UUID whose time is the given number of seconds after t0.
func uuidV7(seconds, n int) string {
	ms := t0.Add(time.Duration(seconds) * time.Second).UnixMilli()
	var u uuid.UUID
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6], u[8], u[15] = 0x70, 0x80, byte(n)
	return u.String()
}

// TestTable guards against a claim that is granted twice, dropped before its horizon or granted without coverage, and
// against a table that grows without limit. Times in the test data are in seconds.
func TestTable(t *testing.T) {
	var table *Table
	var now int
	datadriven.RunTest(t, "testdata/table", func(t *testing.T, d *datadriven.TestData) string {
		scan := func(name string, into any) bool {
			if d.HasArg(name) {
				d.ScanArgs(t, name, into)
				return true
			}
			return false
		}
		var made, keyNumber, seq, epoch, size, since, fp int
		scan("at", &now)
		scan("key", &keyNumber)
		scan("seq", &seq)
		scan("epoch", &epoch)
		scan("fp", &fp)
		key := Key{ID: fmt.Sprintf("k%d", keyNumber)}
		if scan("made", &made) {
			key.ID = uuidV7(made, keyNumber)
		}
		id := AttemptID{Node: "n", Seq: uint64(seq)}
		at := t0.Add(time.Duration(now) * time.Second)
		switch d.Cmd {
		case "new":
			var claims, bytes int
			scan("claims", &claims)
			scan("bytes", &bytes)
			table = NewTable(claims, bytes)
			return ""
		case "claim":
			cov := Coverage{EarlierHomesInactive: !d.HasArg("unsettled"), HomesReplaced: d.HasArg("replaced")}
			if cov.Known = scan("since", &since); cov.Known {
				cov.HomeSince = t0.Add(time.Duration(since) * time.Second)
			}
			r := table.Claim(Request{
				Key: key, Fingerprint: Fingerprint{byte(fp)}, First: d.HasArg("first"), Epoch: uint64(epoch), Attempt: id,
			}, cov, at)
			names := []string{"", "granted", "known", "mismatch", "not covered", "stale", "full", "unsettled"}
			return fmt.Sprintf("%s phase=%d covered=%v answer=%v\n", names[r.Status], r.Phase, r.Covered, r.Response != nil)
		case "finish":
			var phase int
			scan("phase", &phase)
			outcome := Outcome{Key: key, Fingerprint: Fingerprint{byte(fp)}, Attempt: id, Phase: Phase(phase)}
			if scan("size", &size) {
				outcome.Response = &StoredResponse{Status: 200, Body: make([]byte, size)}
			}
			table.Finish(outcome, at)
		case "expire":
			table.Expire(at)
		}
		return fmt.Sprintf("claims=%d bytes=%d\n", table.Len(), table.ResponseBytes())
	})
}

// TestAttempt guards against a later attempt that runs without grants from both home nodes, against a first attempt
// that is refused although one home node is sufficient, and against a refusal as not-run when an earlier attempt may
// TestLimitsFor guards against a full table that takes more than the memory that it was given.
func TestLimitsFor(t *testing.T) {
	for _, memory := range []int64{6 << 20, 36 << 20, 1 << 30} {
		claims, responses := LimitsFor(memory)
		if used := int64(claims)*claimBytes + int64(responses); used > memory || claims > DefaultMaxClaims || claims < 1000 {
			t.Errorf("%d bytes: %d claims and %d bytes of responses", memory, claims, responses)
		}
	}
}

// have run.
func TestAttempt(t *testing.T) {
	replies := map[string]Reply{
		"granted":     {Status: StatusGranted, Covered: true},
		"uncovered":   {Status: StatusGranted},
		"claimed":     {Status: StatusKnown, Phase: PhaseClaimed},
		"unknown":     {Status: StatusKnown, Phase: PhaseUnknown},
		"done":        {Status: StatusKnown, Phase: PhaseDone, Response: &StoredResponse{Status: 200}},
		"mismatch":    {Status: StatusMismatch},
		"not-covered": {Status: StatusNotCovered},
		"full":        {Status: StatusFull},
		"unsettled":   {Status: StatusEarlierHomesActive},
	}
	names := []string{"", "granted", "in progress", "replay", "mismatch", "uncovered", "unreachable", "future"}
	datadriven.RunTest(t, "testdata/attempt", func(t *testing.T, d *datadriven.TestData) string {
		key := Key{ID: "no-time"}
		if d.HasArg("timed") {
			key.ID = uuidV7(0, 0)
		}
		var out strings.Builder
		for _, line := range strings.Split(d.Input, "\n") {
			answers := strings.Fields(line)
			homes := []string{"h1", "h2"}
			if d.HasArg("alone") {
				homes[1] = ""
			}
			a := NewAttempt(key, d.HasArg("first"), homes[0], homes[1])
			for _, answer := range answers {
				if a.Next() == "" {
					break
				}
				if r, ok := replies[answer]; ok {
					a.HandleReply(r)
				} else {
					a.HandleUnreachable()
				}
			}
			dec, ok := a.Decision()
			fmt.Fprintf(&out, "%s: %s decided=%v asked=%v\n", line, names[dec.Result], ok, a.Asked())
		}
		return out.String()
	})
}

// TestKeyTime guards against a time read from an identifier that contains none, and against the acceptance of an
// identifier whose time is in the future.
func TestKeyTime(t *testing.T) {
	for id, want := range map[string]bool{uuidV7(5, 0): true, "f81d4fae-7dec-11d0-a765-00a0c91e6bf6": false, "x": false, "": false} {
		if _, ok := (Key{ID: id}).Time(); ok != want {
			t.Errorf("identifier %q reported to contain a time: %v", id, ok)
		}
	}
	if at, _ := (Key{ID: uuidV7(5, 0)}).Time(); !at.Equal(t0.Add(5 * time.Second)) {
		t.Errorf("wrong time in the identifier: %v", at)
	}
	if k := (Key{ID: uuidV7(3, 0)}); !k.InFuture(t0) || k.InFuture(t0.Add(time.Second)) {
		t.Error("InFuture does not apply ClockSkew as the limit")
	}
}
