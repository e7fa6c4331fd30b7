package membership

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const nonceBytes = 32

// errKeyMismatch rejects a peer that doesn't have the shared key.
var errKeyMismatch = errors.New("peer has another key")

// serverHandshake proves the shared key to the dialing peer and has it prove the key in turn, by an HMAC of both nonces.
func (n *Network) serverHandshake(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout.Duration()))
	ownNonce, err := newNonce()
	if err != nil {
		return err
	}
	if _, err := conn.Write(ownNonce); err != nil {
		return err
	}
	var message [nonceBytes + sha256.Size]byte
	if _, err := io.ReadFull(conn, message[:]); err != nil {
		return err
	}
	peerNonce, proof := message[:nonceBytes], message[nonceBytes:]
	if !hmac.Equal(proof, n.proof("caller", ownNonce, peerNonce)) {
		return errKeyMismatch
	}
	if _, err := conn.Write(n.proof("server", peerNonce, ownNonce)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// clientHandshake is the dialing side of serverHandshake.
func (n *Network) clientHandshake(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout.Duration()))
	peerNonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, peerNonce); err != nil {
		return err
	}
	ownNonce, err := newNonce()
	if err != nil {
		return err
	}
	if _, err := conn.Write(append(ownNonce, n.proof("caller", peerNonce, ownNonce)...)); err != nil {
		return err
	}
	var proof [sha256.Size]byte
	if _, err := io.ReadFull(conn, proof[:]); err != nil {
		return err
	}
	if !hmac.Equal(proof[:], n.proof("server", ownNonce, peerNonce)) {
		return errKeyMismatch
	}
	return conn.SetDeadline(time.Time{})
}

func (n *Network) proof(role string, first, second []byte) []byte {
	h := hmac.New(sha256.New, n.Key)
	_, _ = io.WriteString(h, role)
	_, _ = h.Write(first)
	_, _ = h.Write(second)
	return h.Sum(nil)
}

func newNonce() ([]byte, error) {
	b := make([]byte, nonceBytes, nonceBytes+sha256.Size)
	_, err := rand.Read(b)
	return b, err
}

// meteredConn counts bytes and sets a deadline for each read and write.
type meteredConn struct {
	net.Conn
	sent     *atomic.Int64
	received *atomic.Int64
}

func (n *Network) meter(c net.Conn) *meteredConn {
	return &meteredConn{Conn: c, sent: &n.sent, received: &n.received}
}

// Read waits for data no longer than idleTimeout.
func (c *meteredConn) Read(p []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(idleTimeout.Duration()))
	k, err := c.Conn.Read(p)
	c.received.Add(int64(k))
	return k, err
}

// Write takes no longer than callTimeout.
func (c *meteredConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(callTimeout.Duration()))
	k, err := c.Conn.Write(p)
	c.sent.Add(int64(k))
	return k, err
}
