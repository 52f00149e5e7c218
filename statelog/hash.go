package statelog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"

	"github.com/berylwharf/berylwharf/resource"
)

// Tags keep elements of different types apart in the state hash.
const (
	tagResource   = 1
	tagMember     = 2
	tagEpoch      = 3
	tagRemembered = 4
)

// digest is the SHA-256 of one element of the state, or the XOR of several.
type digest [32]byte

// toggle adds an element that is not in the sum, or removes one that is.
func (d *digest) toggle(o digest) {
	for i := range d {
		d[i] ^= o[i]
	}
}

// elementBuf collects the fields of an element, each string with its length.
type elementBuf []byte

func (b *elementBuf) str(s string) {
	*b = binary.AppendUvarint(*b, uint64(len(s)))
	*b = append(*b, s...)
}

func (b *elementBuf) num(n uint64) { *b = binary.AppendUvarint(*b, n) }

func (it *item) digest() digest {
	b := make(elementBuf, 0, 128+len(it.res.Spec))
	b = append(b, tagResource)
	b.str(string(it.res.Kind))
	b.str(it.res.Name)
	b.num(it.res.Version)
	b.str(it.res.Author)
	b = append(b, it.id[:]...)
	b = append(b, it.res.Spec...)
	return sha256.Sum256(b)
}

func (m *memberItem) digest() digest {
	b := elementBuf{tagMember}
	for _, s := range []string{m.Node, m.VM, m.Zone, m.Region, m.PeerAddr} {
		b.str(s)
	}
	b.num(m.Incarnation)
	b.num(m.Version)
	b = append(b, m.id[:]...)
	return sha256.Sum256(b)
}

func epochDigest(region string, e regionEpoch) digest {
	b := elementBuf{tagEpoch}
	b.str(region)
	b.num(e.epoch)
	b.num(e.removal)
	return sha256.Sum256(b)
}

// digest leaves the message out: its text comes from libraries and may differ between builds.
func (r *remembered) digest() digest {
	b := make(elementBuf, 0, 128)
	b = append(b, tagRemembered, byte(r.outcome.Status))
	b = append(b, r.outcome.ID[:]...)
	b.num(r.outcome.Offset)
	b.num(r.seen)
	b.num(r.outcome.Current)
	b = append(b, r.outcome.Winner[:]...)
	b.str(string(r.removes.Kind))
	b.str(r.removes.Name)
	return sha256.Sum256(b)
}

// canonicalSpec encodes a valid spec. Specs hold only strings, numbers, booleans, slices and maps with string keys, so
// that the encoding cannot fail.
func canonicalSpec(spec resource.Spec) json.RawMessage {
	data, err := json.Marshal(spec)
	if err != nil {
		return nil
	}
	return data
}
