package proctest

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

const relayBufferBytes = 16 << 10

// Relay is a TCP proxy that can be cut in each direction; a cut delays bytes instead of dropping them, as TCP retransmission
// does after a network outage.
type Relay struct {
	// Address is where the relay listens, as ip:port.
	Address string

	target     string
	ln         net.Listener
	mu         sync.Mutex
	cutChanged *sync.Cond
	cutTo      bool
	cutFrom    bool
	refuseNew  bool
	closed     bool
	delay      time.Duration
	conns      map[net.Conn]bool
}

// NewRelay starts a relay to target, an ip:port, that is closed when the test ends.
func NewRelay(t testing.TB, target string) *Relay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{Address: ln.Addr().String(), target: target, ln: ln, conns: map[net.Conn]bool{}}
	r.cutChanged = sync.NewCond(&r.mu)
	go r.accept()
	t.Cleanup(r.close)
	return r
}

// Cut sets whether bytes to the target and bytes from the target are held back.
func (r *Relay) Cut(toTarget, fromTarget bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutTo, r.cutFrom = toTarget, fromTarget
	r.cutChanged.Broadcast()
}

// Delay delays each chunk of bytes by d in each direction.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// CloseConnections closes all open connections without refusing new ones.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.Close()
	}
}

// ResetConnections resets all open connections without refusing new ones.
func (r *Relay) ResetConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		reset(c)
	}
}

// Refuse resets all open connections and closes each new one until it is called with false.
func (r *Relay) Refuse(on bool) {
	r.mu.Lock()
	r.refuseNew = on
	r.mu.Unlock()
	if on {
		r.ResetConnections()
	}
}

// reset closes a connection so that its peer sees a reset instead of an orderly end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (r *Relay) close() {
	_ = r.ln.Close()
	r.mu.Lock()
	r.closed = true
	r.cutChanged.Broadcast()
	r.mu.Unlock()
	r.CloseConnections()
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
	defer r.untrack(in)
	if !r.track(in) {
		return
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.untrack(out)
	if !r.track(out) {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.forward(in, out, &r.cutFrom)
	}()
	r.forward(out, in, &r.cutTo)
	<-done
}

func (r *Relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refuseNew || r.closed {
		return false
	}
	r.conns[c] = true
	return true
}

func (r *Relay) untrack(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	_ = c.Close()
}

// forward copies bytes while the direction is not cut, and passes on the end of the stream.
func (r *Relay) forward(to, from net.Conn, cut *bool) {
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(buf)
		if !r.awaitUncut(cut) {
			return
		}
		if _, werr := to.Write(buf[:n]); werr != nil {
			_ = from.Close()
			return
		}
		if err != nil {
			r.closeAfter(to, from, err)
			return
		}
	}
}

// closeAfter closes one direction at the end of the stream, and resets both after an error.
func (r *Relay) closeAfter(to, from net.Conn, err error) {
	tcp, ok := to.(*net.TCPConn)
	if err == io.EOF && ok {
		_ = tcp.CloseWrite()
		return
	}
	reset(to)
	_ = from.Close()
}

// awaitUncut waits for the delay and until the direction is not cut; it returns false when the relay is closed.
func (r *Relay) awaitUncut(cut *bool) bool {
	r.mu.Lock()
	delay := r.delay
	r.mu.Unlock()
	time.Sleep(delay)
	r.mu.Lock()
	defer r.mu.Unlock()
	for *cut && !r.closed {
		r.cutChanged.Wait()
	}
	return !r.closed
}
