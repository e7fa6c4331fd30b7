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

// errKey ends a connection whose peer doesn't have the key.
var errKey = errors.New("peer has another key")

// acceptPeer proves the key to a caller and has it prove the key: both answer the nonce of the other one.
func (n *Network) acceptPeer(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTime.Duration()))
	own, err := newNonce()
	if err != nil {
		return err
	}
	if _, err := conn.Write(own); err != nil {
		return err
	}
	var hello [nonceBytes + sha256.Size]byte
	if _, err := io.ReadFull(conn, hello[:]); err != nil {
		return err
	}
	theirs, proof := hello[:nonceBytes], hello[nonceBytes:]
	if !hmac.Equal(proof, n.proof("caller", own, theirs)) {
		return errKey
	}
	if _, err := conn.Write(n.proof("server", theirs, own)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// greetPeer is the caller's side of acceptPeer.
func (n *Network) greetPeer(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTime.Duration()))
	theirs := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return err
	}
	own, err := newNonce()
	if err != nil {
		return err
	}
	if _, err := conn.Write(append(own, n.proof("caller", theirs, own)...)); err != nil {
		return err
	}
	var proof [sha256.Size]byte
	if _, err := io.ReadFull(conn, proof[:]); err != nil {
		return err
	}
	if !hmac.Equal(proof[:], n.proof("server", own, theirs)) {
		return errKey
	}
	return conn.SetDeadline(time.Time{})
}

func (n *Network) proof(side string, first, second []byte) []byte {
	h := hmac.New(sha256.New, n.Key)
	_, _ = io.WriteString(h, side)
	_, _ = h.Write(first)
	_, _ = h.Write(second)
	return h.Sum(nil)
}

func newNonce() ([]byte, error) {
	b := make([]byte, nonceBytes, nonceBytes+sha256.Size)
	_, err := rand.Read(b)
	return b, err
}

// meteredConn counts bytes and bounds the time without one.
type meteredConn struct {
	net.Conn
	sent     *atomic.Int64
	received *atomic.Int64
}

func (n *Network) meter(c net.Conn) *meteredConn {
	return &meteredConn{Conn: c, sent: &n.sent, received: &n.received}
}

// Read counts the bytes received.
func (c *meteredConn) Read(p []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(idleTime.Duration()))
	k, err := c.Conn.Read(p)
	c.received.Add(int64(k))
	return k, err
}

// Write counts the bytes sent.
func (c *meteredConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(callTime.Duration()))
	k, err := c.Conn.Write(p)
	c.sent.Add(int64(k))
	return k, err
}
