package statelog

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"

	"github.com/berylwharf/berylwharf/resource"
)

// Each element starts with the tag of its type, so that elements of different types have different digests.
const (
	tagResource   = 1
	tagMember     = 2
	tagEpoch      = 3
	tagDedupEntry = 4
)

// digest is the SHA-256 of one element of the state, or the XOR of several.
type digest [32]byte

// xor adds an element that is not in the sum, or removes one that is in it.
func (d *digest) xor(o digest) {
	for i := range d {
		d[i] ^= o[i]
	}
}

// elementBuf is the digest input of an element. Each string is preceded by its length, so that the boundaries between
// fields are unambiguous.
type elementBuf []byte

func (b *elementBuf) appendString(s string) {
	*b = binary.AppendUvarint(*b, uint64(len(s)))
	*b = append(*b, s...)
}

func (b *elementBuf) appendUint(n uint64) { *b = binary.AppendUvarint(*b, n) }

func (it *resourceEntry) digest() digest {
	b := make(elementBuf, 0, 128+len(it.res.Spec))
	b = append(b, tagResource)
	b.appendString(string(it.res.Kind))
	b.appendString(it.res.Name)
	b.appendUint(it.res.Version)
	b.appendString(it.res.Author)
	b = append(b, it.id[:]...)
	b = append(b, it.res.Spec...)
	return sha256.Sum256(b)
}

func (m *memberEntry) digest() digest {
	b := elementBuf{tagMember}
	for _, s := range []string{m.Node, m.VM, m.Zone, m.Region, m.PeerAddr} {
		b.appendString(s)
	}
	b.appendUint(m.Incarnation)
	b.appendUint(m.Version)
	b = append(b, m.id[:]...)
	return sha256.Sum256(b)
}

func epochDigest(region string, e regionEpoch) digest {
	b := elementBuf{tagEpoch}
	b.appendString(region)
	b.appendUint(e.epoch)
	b.appendUint(e.lastRemoval)
	return sha256.Sum256(b)
}

// digest omits the message, because its text comes from libraries and may differ between builds.
func (r *dedupEntry) digest() digest {
	b := make(elementBuf, 0, 128)
	b = append(b, tagDedupEntry, byte(r.outcome.Status))
	b = append(b, r.outcome.ID[:]...)
	b.appendUint(r.outcome.Offset)
	b.appendUint(r.lastSeen)
	b.appendUint(r.outcome.CurrentVersion)
	b = append(b, r.outcome.WinnerID[:]...)
	b.appendString(string(r.removedKey.Kind))
	b.appendString(r.removedKey.Name)
	return sha256.Sum256(b)
}

// canonicalSpec encodes a valid spec. The encoding cannot fail, because specs contain only strings, numbers, booleans,
// slices and maps with string keys.
func canonicalSpec(spec resource.Spec) json.RawMessage {
	data, err := json.Marshal(spec)
	if err != nil {
		return nil
	}
	return data
}
