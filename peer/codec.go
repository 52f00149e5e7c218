package peer

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxFrame is the largest encoded frame in bytes.
const MaxFrame = 1 << 20

// Limits on decoded frames. maxNesting exceeds the nesting of a claim with its answer.
const (
	maxNesting  = 16
	maxElements = 1 << 17
	maxTypeName = 64
)

var encMode, decMode = modes()

func modes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// frame is the unit of transmission on a link. A request has a non-zero ID, which its reply repeats in ReplyTo. A frame
// with neither is a one-way message.
type frame struct {
	ID      uint64          `cbor:"1,keyasint,omitempty"`
	Type    string          `cbor:"2,keyasint,omitempty"`
	ReplyTo uint64          `cbor:"3,keyasint,omitempty"`
	Body    cbor.RawMessage `cbor:"4,keyasint,omitempty"`
	Error   string          `cbor:"5,keyasint,omitempty"`
}

// Body is the encoded body of a message.
type Body = cbor.RawMessage

// Decode decodes the body of a message into the value that v points to.
func Decode(b Body, v any) error {
	return errors.Wrap(decMode.Unmarshal(b, v), "decode message body")
}

// Encode returns the encoded body of a message.
func Encode(v any) (Body, error) {
	b, err := encMode.Marshal(v)
	return b, errors.Wrap(err, "encode message body")
}

func encodeFrame(f frame) ([]byte, error) {
	b, err := encMode.Marshal(f)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	if len(b) > MaxFrame {
		return nil, ErrTooLarge
	}
	return b, nil
}

func decodeFrame(b []byte) (frame, error) {
	var f frame
	if len(b) > MaxFrame {
		return f, ErrTooLarge
	}
	if err := decMode.Unmarshal(b, &f); err != nil {
		return f, errors.Wrap(err, "decode frame")
	}
	if len(f.Type) > maxTypeName {
		return f, errors.New("decode frame: message type longer than 64 bytes")
	}
	if f.ReplyTo == 0 && f.Type == "" {
		return f, errors.New("decode frame: neither a reply nor a message type")
	}
	return f, nil
}
