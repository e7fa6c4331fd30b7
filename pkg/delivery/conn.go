package delivery

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

var (
	errSealed  = errors.New("the exchange was given up before its first byte")
	errResend  = errors.New("the exchange was already written to another connection")
	errNoOwner = errors.New("the connection belongs to no exchange")
)

// exchange is one request on its way to an upstream; it knows whether any byte of it was handed to a connection.
type exchange struct {
	// permit is asked right before the first byte.
	permit func() error

	mu     sync.Mutex
	conn   *gatedConn
	bytes  int64
	wrote  bool
	sealed bool
	denied error
}

// admit is called before each write; the exchange stays on the connection that took its first byte.
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
	if err := e.permit(); err != nil {
		e.denied = err
		return err
	}
	e.wrote, e.conn = true, c
	return nil
}

// count notes how many bytes the connection took; a first write that failed with none of them leaves the exchange unwritten.
func (e *exchange) count(n int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bytes += int64(n)
	if err != nil && e.bytes == 0 {
		e.wrote, e.conn = false, nil
	}
}

// seal stops an unwritten exchange for good, and tells whether bytes of it may have left.
func (e *exchange) seal() (wrote bool, denied error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sealed = true
	return e.wrote, e.denied
}

// abandon closes the connection, since what comes next on it can't be told to belong to a later exchange.
func (e *exchange) abandon() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil {
		_ = e.conn.Close()
	}
}

// gatedConn passes a write on only while its exchange permits it.
type gatedConn struct {
	net.Conn
	owner atomic.Pointer[exchange]
}

// Write writes b for the exchange that owns the connection.
func (c *gatedConn) Write(b []byte) (int, error) {
	e := c.owner.Load()
	if e == nil {
		return 0, errNoOwner
	}
	if err := e.admit(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(b)
	e.count(n, err)
	return n, err
}
