package statelog

import (
	"bytes"
	"fmt"
	"net/netip"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/berylwharf/berylwharf/resource"
)

const (
	// MaxAuthorBytes bounds the author of a record.
	MaxAuthorBytes = 128
	// MaxRecordBytes bounds an encoded record: the largest permitted spec plus 2 KiB for the other fields.
	MaxRecordBytes = resource.MaxSpecBytes + 2048

	maxPeerAddrBytes = 64
	maxMessageBytes  = 256
)

// The CBOR modes are package variables because building one is expensive. They are immutable.
var (
	encMode         = newEncMode()
	recordDecMode   = newDecMode(16)
	snapshotDecMode = newDecMode(maxStateElements)
)

func newEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

func newDecMode(maxElements int) cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		MaxNestedLevels:   8,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       16,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}

// EncodeRecord validates a record and returns its deterministic encoding, the only one that DecodeRecord accepts.
func EncodeRecord(r *Record) ([]byte, error) {
	if _, err := r.validate(); err != nil {
		return nil, err
	}
	data, err := encMode.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "record")
	}
	if len(data) > MaxRecordBytes {
		return nil, fmt.Errorf("record has %d bytes, at most %d are permitted", len(data), MaxRecordBytes)
	}
	return data, nil
}

// DecodeRecord parses and validates a record. It never panics.
func DecodeRecord(data []byte) (*Record, error) {
	r, _, err := decodeRecord(data)
	if err != nil {
		return nil, err
	}
	return r, nil
}

// decodeRecord returns the record together with the error when it decodes but is not valid, so that its outcome is
// stored under its identifier and the writer can look it up.
func decodeRecord(data []byte) (*Record, resource.Spec, error) {
	if len(data) > MaxRecordBytes {
		return nil, nil, fmt.Errorf("record has %d bytes, at most %d are permitted", len(data), MaxRecordBytes)
	}
	r := new(Record)
	if err := decodeCanonical(data, r); err != nil {
		return nil, nil, errors.Wrap(err, "record")
	}
	spec, err := r.validate()
	return r, spec, err
}

// decodeCanonical rejects every encoding except the deterministic one. The comparison also detects a byte string that is
// too short for its array, which the CBOR library pads without an error.
func decodeCanonical(data []byte, v any) error {
	if err := recordDecMode.Unmarshal(data, v); err != nil {
		return err
	}
	reencoded, err := encMode.Marshal(v)
	if err != nil {
		return err
	}
	if !bytes.Equal(data, reencoded) {
		return errors.New("encoding is not the deterministic one")
	}
	return nil
}

func (r *Record) validate() (resource.Spec, error) {
	if r.ID == (RecordID{}) {
		return nil, errors.New("record identifier is zero")
	}
	if r.ReadPos == 0 {
		return nil, errors.New("read position is zero")
	}
	if len(r.Author) > MaxAuthorBytes || !utf8.ValidString(r.Author) {
		return nil, fmt.Errorf("author must be UTF-8 of at most %d bytes", MaxAuthorBytes)
	}
	switch r.Op {
	case OpPut:
		if r.Member != nil {
			return nil, errors.New("put must not carry a member")
		}
		return resource.Decode(r.Key, r.Spec)
	case OpDelete:
		return nil, r.validateDelete()
	case OpJoin, OpLeave:
		return nil, r.validateMembership()
	}
	return nil, fmt.Errorf("unknown operation %d", r.Op)
}

func (r *Record) validateDelete() error {
	if r.Member != nil || len(r.Spec) != 0 {
		return errors.New("delete must not carry a spec or a member")
	}
	if r.BaseVersion == 0 {
		return errors.New("delete must name the version that it removes")
	}
	return r.Key.Validate()
}

func (r *Record) validateMembership() error {
	if r.Member == nil || len(r.Spec) != 0 || r.Key != (resource.Key{}) {
		return errors.New("join and leave must carry a member and nothing else")
	}
	if r.Op == OpLeave {
		if r.BaseVersion == 0 {
			return errors.New("leave must name the version that it removes")
		}
		return validateName("node", r.Member.Node)
	}
	return r.Member.validate()
}

func (m *Member) validate() error {
	for _, f := range []struct{ field, value string }{
		{"node", m.Node}, {"vm", m.VM}, {"zone", m.Zone}, {"region", m.Region},
	} {
		if err := validateName(f.field, f.value); err != nil {
			return err
		}
	}
	if m.Incarnation == 0 {
		return errors.New("member: incarnation is zero")
	}
	if len(m.PeerAddr) > maxPeerAddrBytes {
		return fmt.Errorf("member: peer address has more than %d bytes", maxPeerAddrBytes)
	}
	if _, err := netip.ParseAddrPort(m.PeerAddr); err != nil {
		return errors.Wrap(err, "member: peer address")
	}
	return nil
}

// validateName checks a name of a member against the rule for resource names.
func validateName(field, name string) error {
	if err := (resource.Key{Kind: resource.KindVM, Name: name}).Validate(); err != nil {
		return errors.Wrapf(err, "member: %s", field)
	}
	return nil
}

// truncateMessage returns the error text, cut to at most maxMessageBytes at a UTF-8 character boundary.
func truncateMessage(err error) string {
	s := err.Error()
	if len(s) <= maxMessageBytes {
		return s
	}
	s = s[:maxMessageBytes]
	for len(s) > 0 && !utf8.ValidString(s) {
		s = s[:len(s)-1]
	}
	return s
}
