package custody

import "net"

// receiveBytes bounds what the kernel holds of a client's bytes that are not read yet.
const receiveBytes = 32 << 10

// Listener accepts the connections that its account has room for and closes the others.
type Listener struct {
	net.Listener
	Account *Account
	// Opaque is true for protocols other than HTTP.
	Opaque bool
}

// Accept returns the next connection, which is a *Conn.
func (l *Listener) Accept() (net.Conn, error) {
	p := phaseIdle
	if l.Opaque {
		p = phaseOpaque
	}
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.Account.admit(conn, p); c != nil {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetReadBuffer(receiveBytes)
			}
			return c, nil
		}
		_ = conn.Close()
	}
}
