package peer

import (
	"bytes"
	"testing"
)

// FuzzFrame guards against frames that crash the decoder or change when they are decoded and encoded again.
func FuzzFrame(f *testing.F) {
	for _, x := range []frame{{ID: 1, Type: "claim", Body: Body{0xf6}}, {ReplyTo: 7, Error: "no"}, {Type: TypeHeartbeat}} {
		b, err := encodeFrame(x)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		x, err := decodeFrame(b)
		if err != nil {
			return
		}
		again, err := encodeFrame(x)
		if err != nil {
			t.Fatal(err)
		}
		y, err := decodeFrame(again)
		if err != nil || x.ID != y.ID || x.Type != y.Type || x.ReplyTo != y.ReplyTo || !bytes.Equal(x.Body, y.Body) {
			t.Fatalf("%+v became %+v, %v", x, y, err)
		}
	})
}

// FuzzHandshake guards against a hello that crashes the decoder, and against one that is accepted with a node name or
// challenge of invalid length.
func FuzzHandshake(f *testing.F) {
	b, err := encMode.Marshal(newHello("a", 1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		h, err := decodeHello(b)
		if err == nil && (h.Node == "" || len(h.Node) > maxNodeName || len(h.Challenge) != challengeBytes) {
			t.Fatalf("accepted %+v", h)
		}
		var p proof
		_ = decMode.Unmarshal(b, &p)
	})
}

// FuzzHeartbeat guards against a heartbeat that crashes the decoder, and against one that is accepted although it names
// another node than its sender.
func FuzzHeartbeat(f *testing.F) {
	b, err := Encode(Heartbeat{Node: "a", Epoch: 5, InFlight: []string{"w1"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(b))
	f.Fuzz(func(t *testing.T, b []byte) {
		if hb, err := decodeHeartbeat("a", b); err == nil && hb.Node != "a" {
			t.Fatalf("accepted %+v", hb)
		}
	})
}
