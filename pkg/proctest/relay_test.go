package proctest

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
)

// startEchoServer starts a TCP server that echoes all bytes, and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

func TestRelay(t *testing.T) {
	cases := []struct {
		name string
		run  func(r *Relay, c net.Conn)
		want string
	}{
		{name: "forwards", run: func(_ *Relay, c net.Conn) { _, _ = io.WriteString(c, "a\n") }, want: "a\n"},
		{
			name: "forwards bytes to the target after a cut",
			run: func(r *Relay, c net.Conn) {
				r.Cut(true, false)
				_, _ = io.WriteString(c, "a\n")
				r.Cut(false, false)
			},
			want: "a\n",
		},
		{
			name: "forwards bytes from the target after a cut",
			run: func(r *Relay, c net.Conn) {
				r.Cut(false, true)
				_, _ = io.WriteString(c, "a\n")
				r.Cut(false, false)
			},
			want: "a\n",
		},
		{name: "refuses", run: func(r *Relay, c net.Conn) { r.Refuse(true); _, _ = io.WriteString(c, "a\n") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := NewRelay(t, startEchoServer(t))
			conn, err := net.Dial("tcp", r.Address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			c.run(r, conn)
			got, _ := bufio.NewReader(conn).ReadString('\n')
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("echoed line (-want +got):\n%s", diff)
			}
		})
	}
}

// A reset must not reach the peer as an orderly end, which ends an unframed response.
func TestRelayForwardsResets(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(r *Relay, target net.Conn)
		want error
	}{
		{"target closes", func(_ *Relay, target net.Conn) { _ = target.Close() }, io.EOF},
		{"target resets", func(_ *Relay, target net.Conn) { reset(target) }, syscall.ECONNRESET},
		{"relay resets", func(r *Relay, _ net.Conn) { r.ResetConnections() }, syscall.ECONNRESET},
		{"relay refuses", func(r *Relay, _ net.Conn) { r.Refuse(true) }, syscall.ECONNRESET},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			r := NewRelay(t, ln.Addr().String())
			conn, err := net.Dial("tcp", r.Address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			target, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer target.Close()
			_, _ = io.WriteString(target, "a\n")
			in := bufio.NewReader(conn)
			if line, err := in.ReadString('\n'); line != "a\n" {
				t.Fatalf("got %q and %v, want a line", line, err)
			}
			c.end(r, target)
			if _, err := in.ReadByte(); !errors.Is(err, c.want) {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}
