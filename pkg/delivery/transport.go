package delivery

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// idleConnsPerUpstream bounds the idle connections kept to one upstream.
	idleConnsPerUpstream = 64
	// idleConnTime is how long an idle connection is kept.
	idleConnTime = 30 * clock.Second
	// headBytes bounds the head of an upstream's answer.
	headBytes = 64 << 10
)

// transports has the two ways to an upstream: kept connections for repeatable requests, a fresh one for each other request.
type transports struct {
	kept  *http.Transport
	fresh *http.Transport
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

func newTransports(dial dialFunc) *transports {
	return &transports{kept: newTransport(dial, false), fresh: newTransport(dial, true)}
}

func newTransport(dial dialFunc, fresh bool) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: conn}, nil
		},
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnsPerUpstream,
		IdleConnTimeout:        idleConnTime.Duration(),
		MaxResponseHeaderBytes: headBytes,
	}
}

// roundTrip sends the request once: the exchange refuses a second connection after the first byte, and GetBody is nil,
// so that the transport can't send it again by itself.
func (t *transports) roundTrip(req *http.Request, e *exchange, repeatable bool) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*gatedConn); ok {
			c.owner.Store(e)
		}
	}}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	req.GetBody = nil
	tr := t.kept
	if !repeatable {
		tr = t.fresh
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		if cause := context.Cause(req.Context()); cause != nil {
			err = cause
		}
		return nil, errors.Wrap(err, "exchange")
	}
	return resp, nil
}

func (t *transports) closeIdle() {
	t.kept.CloseIdleConnections()
	t.fresh.CloseIdleConnections()
}
