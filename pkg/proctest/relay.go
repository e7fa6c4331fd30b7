package proctest

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// relayBuffer is the size of a piece that a relay passes on, in bytes.
const relayBuffer = 16 << 10

// Relay passes TCP connections on and can be cut in each direction.
// While it is cut, it holds back what was sent, as a network does that loses packets which are sent again later.
type Relay struct {
	Address string

	target string
	ln     net.Listener
	mu     sync.Mutex
	change *sync.Cond
	there  bool
	back   bool
	refuse bool
	closed bool
	delay  time.Duration
	conns  map[net.Conn]bool
}

// NewRelay returns a relay to the target, as ip:port.
func NewRelay(t testing.TB, target string) *Relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{Address: ln.Addr().String(), target: target, ln: ln, conns: map[net.Conn]bool{}}
	r.change = sync.NewCond(&r.mu)
	go r.accept()
	t.Cleanup(r.close)
	return r
}

// Cut cuts the way to the target, or the way back, or heals them.
func (r *Relay) Cut(there, back bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.there, r.back = there, back
	r.change.Broadcast()
}

// Delay holds each piece back for d in each direction.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Break closes all connections.
func (r *Relay) Break() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// Refuse closes all connections, and each new one at once, or lets new ones pass again.
func (r *Relay) Refuse(on bool) {
	r.mu.Lock()
	r.refuse = on
	r.mu.Unlock()
	if on {
		r.Break()
	}
}

func (r *Relay) close() {
	_ = r.ln.Close()
	r.mu.Lock()
	r.closed = true
	r.change.Broadcast()
	r.mu.Unlock()
	r.Break()
}

func (r *Relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Relay) serve(in net.Conn) {
	defer r.forget(in)
	if !r.remember(in) {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.forget(out)
	if !r.remember(out) {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.copy(in, out, &r.back)
	}()
	r.copy(out, in, &r.there)
	<-done
}

func (r *Relay) remember(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refuse || r.closed {
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) forget(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

// copy passes bytes on while the direction is not cut, and then the end of the stream.
func (r *Relay) copy(to, from net.Conn, cut *bool) {
	buf := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buf)
		if !r.await(cut) {
			return
		}
		if _, werr := to.Write(buf[:n]); werr != nil {
			_ = from.Close()
			return
		}
		if err != nil {
			r.end(to, from, err)
			return
		}
	}
}

// end closes one direction at the end of the stream, and both after an error.
func (r *Relay) end(to, from net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if err == io.EOF && ok {
		_ = tcp.CloseWrite()
		return
	}
	_ = to.Close()
	_ = from.Close()
}

// await waits until the direction is not cut and returns false when the relay is closed.
func (r *Relay) await(cut *bool) bool {
	r.mu.Lock()
	delay := r.delay
	r.mu.Unlock()
	time.Sleep(delay)
	r.mu.Lock()
	defer r.mu.Unlock()
	for *cut && !r.closed {
		r.change.Wait()
	}
	return !r.closed
}
