package delivery

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// countingConn counts the bytes written; if err is set, each write fails with it and writes nothing.
type countingConn struct {
	net.Conn
	got int
	err error
}

func (c *countingConn) Write(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	c.got += len(b)
	return len(b), nil
}

func TestP08ExchangeUsesAtMostOneConnection(t *testing.T) {
	denied := errors.New("denied")
	for _, c := range []struct {
		name string
		// run is called with two connections that are assigned to the exchange.
		run func(e *exchange, first, second *gatedConn) error
		// permit is the result of the gate.
		permit        error
		firstConnDead bool
		want          error
		wrote         bool
		written       []int
	}{
		{name: "written in two parts", wrote: true, written: []int{2, 0}, run: func(_ *exchange, first, _ *gatedConn) error {
			return errors.CombineErrors(write(first), write(first))
		}},
		{name: "denied", permit: denied, want: denied, written: []int{0, 0}, run: func(_ *exchange, first, _ *gatedConn) error {
			return write(first)
		}},
		{name: "aborted before the first byte", want: errSealed, written: []int{0, 0}, run: func(e *exchange, first, _ *gatedConn) error {
			e.seal()
			return write(first)
		}},
		{name: "aborted after the first byte", wrote: true, written: []int{2, 0}, run: func(e *exchange, first, _ *gatedConn) error {
			_ = write(first)
			e.seal()
			return write(first)
		}},
		{name: "sent again on another connection", want: errResend, wrote: true, written: []int{1, 0}, run: func(_ *exchange, first, second *gatedConn) error {
			_ = write(first)
			return write(second)
		}},
		{name: "first connection dead", firstConnDead: true, wrote: true, written: []int{0, 1}, run: func(_ *exchange, first, second *gatedConn) error {
			_ = write(first)
			return write(second)
		}},
		{name: "only connection dead", firstConnDead: true, want: syscall.ECONNRESET, written: []int{0, 0}, run: func(_ *exchange, first, _ *gatedConn) error {
			return write(first)
		}},
		{name: "no owner", want: errNoOwner, written: []int{0, 0}, run: func(_ *exchange, first, _ *gatedConn) error {
			first.owner.Store(nil)
			return write(first)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &exchange{permit: func() error { return c.permit }}
			a, b := &countingConn{}, &countingConn{}
			if c.firstConnDead {
				a.err = syscall.ECONNRESET
			}
			first, second := &gatedConn{Conn: a}, &gatedConn{Conn: b}
			first.owner.Store(e)
			second.owner.Store(e)
			if err := c.run(e, first, second); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
			if wrote, _ := e.seal(); wrote != c.wrote {
				t.Errorf("wrote %t, want %t", wrote, c.wrote)
			}
			if diff := cmp.Diff(c.written, []int{a.got, b.got}); diff != "" {
				t.Errorf("bytes on the connections (-want +got):\n%s", diff)
			}
		})
	}
}

func write(w io.Writer) error {
	_, err := w.Write([]byte("x"))
	return err
}
