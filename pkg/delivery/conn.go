package delivery

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

var (
	errSealed  = errors.New("exchange was aborted before its first byte")
	errResend  = errors.New("exchange was already written to another connection")
	errNoOwner = errors.New("connection is not assigned to an exchange")
	errUsedID  = errors.New("connection may deliver the response to an earlier exchange with the same id")
)

// maxConnIDs bounds the ids that a connection remembers, and so the exchanges with an id that it carries.
const maxConnIDs = 256

// exchange is one HTTP request to an upstream; it records whether any byte was handed to a connection.
type exchange struct {
	// permit is called right before the first byte; its error stops the exchange.
	permit func() error
	// id identifies the response unless an earlier exchange on the connection had the same; it is empty for ids that are never used twice.
	id string
	// connected is true once the exchange had a connection.
	connected atomic.Bool
	// sent is closed once the request was sent or sending it has failed.
	sent     chan struct{}
	sentOnce sync.Once

	mu     sync.Mutex
	conn   *gatedConn
	bytes  int64
	wrote  bool
	sealed bool
	denied error
	// usedID is true once a connection was rejected because it had carried the id.
	usedID bool
	// sendErr is the error of sending the request.
	sendErr error
}

// newExchange returns an exchange for one request.
func newExchange(permit func() error) *exchange {
	return &exchange{permit: permit, sent: make(chan struct{})}
}

// setSent records the end of sending the request; one of which nothing was written may be sent on another connection.
func (e *exchange) setSent(info httptrace.WroteRequestInfo) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if info.Err != nil && !e.wrote {
		return
	}
	e.sendErr = info.Err
	e.sentOnce.Do(func() { close(e.sent) })
}

// awaitSent waits until the request was sent, and returns the error if that failed or ctx has ended.
func (e *exchange) awaitSent(ctx context.Context) error {
	select {
	case <-e.sent:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sendErr
}

// admit is called before each write; it binds the exchange to the connection of its first byte.
func (e *exchange) admit(c *gatedConn) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.wrote {
		if e.conn != c {
			return errResend
		}
		return nil
	}
	if e.sealed {
		return errSealed
	}
	if e.id != "" && !c.takeID(e.id) {
		e.usedID = true
		return errUsedID
	}
	if err := e.permit(); err != nil {
		e.denied = err
		return err
	}
	e.wrote, e.conn = true, c
	return nil
}

// countWritten records the bytes written. If the first write fails before any byte is written, the exchange counts as unwritten
// and may use another connection.
func (e *exchange) countWritten(n int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bytes += int64(n)
	if err != nil && e.bytes == 0 {
		e.wrote, e.conn = false, nil
	}
}

// mayResend reports whether the exchange was not written because its connection had carried the id.
func (e *exchange) mayResend() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usedID && !e.wrote && !e.sealed && e.denied == nil
}

// seal keeps an unwritten exchange from ever being sent and reports whether bytes of it may have been sent.
func (e *exchange) seal() (wrote bool, denied error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sealed = true
	return e.wrote, e.denied
}

// closeConn closes the connection, because later bytes on it could be mistaken for the response to a later exchange.
func (e *exchange) closeConn() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		_ = e.conn.Close()
	}
}

// closeWrite ends the sending side of the connection, which tells the upstream that nobody waits for its answer, and reports whether that was
// possible.
func (e *exchange) closeWrite() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == nil {
		return false
	}
	half, ok := e.conn.Conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// gatedConn is a connection that writes only what its current exchange admits.
type gatedConn struct {
	net.Conn
	owner atomic.Pointer[exchange]

	mu sync.Mutex
	// ids are those of the exchanges that the connection carried.
	ids map[string]bool
}

// takeID notes the id of the next exchange, and reports whether no earlier one had it.
func (c *gatedConn) takeID(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ids[id] || len(c.ids) >= maxConnIDs {
		return false
	}
	if c.ids == nil {
		c.ids = map[string]bool{}
	}
	c.ids[id] = true
	return true
}

// Write writes b if the owning exchange admits it.
func (c *gatedConn) Write(b []byte) (int, error) {
	e := c.owner.Load()
	if e == nil {
		return 0, errNoOwner
	}
	if err := e.admit(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	e.countWritten(n, err)
	return n, err
}
