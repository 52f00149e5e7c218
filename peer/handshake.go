package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"
)

const (
	// handshakeTimeout limits the whole handshake. It allows for several round trips between regions.
	handshakeTimeout = 5 * time.Second
	challengeBytes   = 32
	maxHandshake     = 1 << 10
	maxNodeName      = 64
)

// Roles in the proof. They differ so that a proof cannot be reflected to the node that made it.
const (
	roleDialer   = "berylwharf peer dialer 1"
	roleAcceptor = "berylwharf peer acceptor 1"
)

// hello is the first handshake message of each side.
type hello struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Challenge   []byte `cbor:"3,keyasint"`
}

// proof shows that the sender knows the shared key.
type proof struct {
	MAC []byte `cbor:"1,keyasint"`
}

func newHello(node string, incarnation uint64) hello {
	challenge := make([]byte, challengeBytes)
	// crypto/rand.Read never returns an error; it crashes the program instead.
	_, _ = rand.Read(challenge)
	return hello{Node: node, Incarnation: incarnation, Challenge: challenge}
}

func decodeHello(b []byte) (hello, error) {
	var h hello
	if err := decMode.Unmarshal(b, &h); err != nil {
		return h, errors.Wrap(err, "decode hello")
	}
	if h.Node == "" || len(h.Node) > maxNodeName || len(h.Challenge) != challengeBytes {
		return h, errors.New("hello with an invalid node name or challenge length")
	}
	return h, nil
}

// mac returns the MAC over both hellos for one role.
func mac(key []byte, role string, dialer, acceptor hello) []byte {
	m := hmac.New(sha256.New, key)
	for _, part := range [][]byte{
		[]byte(role), []byte(dialer.Node), []byte(acceptor.Node), dialer.Challenge, acceptor.Challenge,
	} {
		// Each part is preceded by its length, so that different lists of parts never give the same input.
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		m.Write(n[:])
		m.Write(part)
	}
	var inc [16]byte
	binary.BigEndian.PutUint64(inc[:8], dialer.Incarnation)
	binary.BigEndian.PutUint64(inc[8:], acceptor.Incarnation)
	m.Write(inc[:])
	return m.Sum(nil)
}

func writeHandshake(ctx context.Context, c *websocket.Conn, v any) error {
	b, err := encMode.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode handshake")
	}
	return errors.Wrap(c.Write(ctx, websocket.MessageBinary, b), "handshake")
}

func readHandshake(ctx context.Context, c *websocket.Conn) ([]byte, error) {
	messageType, b, err := c.Read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "handshake")
	}
	if messageType != websocket.MessageBinary {
		return nil, errors.New("handshake: message is not binary")
	}
	return b, nil
}

func readHello(ctx context.Context, c *websocket.Conn) (hello, error) {
	b, err := readHandshake(ctx, c)
	if err != nil {
		return hello{}, err
	}
	return decodeHello(b)
}

// verifyProof reads a proof and compares it with the expected MAC in constant time.
func verifyProof(ctx context.Context, c *websocket.Conn, want []byte) error {
	b, err := readHandshake(ctx, c)
	if err != nil {
		return err
	}
	var p proof
	if err := decMode.Unmarshal(b, &p); err != nil {
		return errors.Wrap(err, "decode proof")
	}
	if !hmac.Equal(p.MAC, want) {
		return ErrWrongKey
	}
	return nil
}

// handshake exchanges hellos and proofs and returns the hello of the other side. The dialer sends its proof first, so
// that an acceptor never answers the challenge of a node that has not proved possession of the key. A dialer calls admit
// before it sends its proof, so that the acceptor does not register a link that the dialer will not use. admit is nil for
// an acceptor.
func handshake(ctx context.Context, c *websocket.Conn, key []byte, own hello, admit func(hello) error) (hello, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	c.SetReadLimit(maxHandshake)
	if admit != nil {
		return handshakeDialer(ctx, c, key, own, admit)
	}
	return handshakeAcceptor(ctx, c, key, own)
}

func handshakeDialer(ctx context.Context, c *websocket.Conn, key []byte, own hello, admit func(hello) error) (hello, error) {
	if err := writeHandshake(ctx, c, own); err != nil {
		return hello{}, err
	}
	other, err := readHello(ctx, c)
	if err != nil {
		return other, err
	}
	if err := admit(other); err != nil {
		return other, err
	}
	if err := writeHandshake(ctx, c, proof{mac(key, roleDialer, own, other)}); err != nil {
		return other, err
	}
	return other, verifyProof(ctx, c, mac(key, roleAcceptor, own, other))
}

func handshakeAcceptor(ctx context.Context, c *websocket.Conn, key []byte, own hello) (hello, error) {
	other, err := readHello(ctx, c)
	if err != nil {
		return other, err
	}
	if err := writeHandshake(ctx, c, own); err != nil {
		return other, err
	}
	if err := verifyProof(ctx, c, mac(key, roleDialer, other, own)); err != nil {
		return other, err
	}
	return other, writeHandshake(ctx, c, proof{mac(key, roleAcceptor, other, own)})
}
