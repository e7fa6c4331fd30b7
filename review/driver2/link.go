//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// Link is the way of one instance to one replica: a TCP proxy, which refuses connections while it is cut.
type Link struct {
	Address string

	target   string
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// NewLink returns a link to a replica.
func NewLink(target string) (*Link, error) {
	l := &Link{target: target, conns: map[net.Conn]bool{}}
	return l, l.listen("127.0.0.1:0")
}

func (l *Link) listen(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener, l.Address = listener, listener.Addr().String()
	go l.accept(listener)
	return nil
}

func (l *Link) accept(listener net.Listener) {
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		go l.serve(in)
	}
}

func (l *Link) serve(in net.Conn) {
	out, err := net.Dial("tcp4", l.target)
	if err != nil {
		reset(in)
		return
	}
	l.mu.Lock()
	l.conns[in], l.conns[out] = true, true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { pipe(out, in) })
	wg.Go(func() { pipe(in, out) })
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, in)
	delete(l.conns, out)
	_, _ = in.Close(), out.Close()
}

// pipe copies bytes, and passes on how their sender ended.
func pipe(dst, src net.Conn) {
	if _, err := io.Copy(dst, src); err != nil {
		reset(dst)
		return
	}
	_ = dst.(*net.TCPConn).CloseWrite()
}

func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// Cut resets the connections and refuses new ones.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	for conn := range l.conns {
		reset(conn)
	}
}

// Heal takes connections again.
func (l *Link) Heal() error { return l.listen(l.Address) }
