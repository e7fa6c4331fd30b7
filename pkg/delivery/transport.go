package delivery

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// idleConnsPerUpstream bounds the idle connections to one upstream.
	idleConnsPerUpstream = 64
	// idleConnTimeout is how long an idle connection stays open.
	idleConnTimeout = 30 * clock.Second
	// maxHeadBytes bounds the status line and headers of a response.
	maxHeadBytes = 64 << 10
)

// transports sends repeatable requests over pooled connections and each non-repeatable request over a new connection.
type transports struct {
	pooled    *http.Transport
	singleUse *http.Transport
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// bodyBytesKey is the key of the context value for BodyBytes.
type bodyBytesKey struct{}

// BodyBytes returns the length of the body of the request for which a connection is dialled with ctx, and 0 if it is unknown.
func BodyBytes(ctx context.Context) int64 {
	n, _ := ctx.Value(bodyBytesKey{}).(int64)
	return n
}

// newTransports returns transports that keep at most maxIdle idle connections to all upstreams together; 0 means no bound.
func newTransports(dial dialFunc, maxIdle int) *transports {
	return &transports{pooled: newTransport(dial, false, maxIdle), singleUse: newTransport(dial, true, maxIdle)}
}

func newTransport(dial dialFunc, singleUse bool, maxIdle int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: conn}, nil
		},
		DisableKeepAlives:      singleUse,
		DisableCompression:     true,
		MaxIdleConns:           maxIdle,
		MaxIdleConnsPerHost:    idleConnsPerUpstream,
		IdleConnTimeout:        idleConnTimeout.Duration(),
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// roundTrip sends the request once: the exchange rejects a second connection after the first byte, and GetBody is nil, so
// that the HTTP transport cannot retry the request by itself. A request that no pooled connection may carry gets a new one.
func (t *transports) roundTrip(req *http.Request, e *exchange, repeatable bool) (*http.Response, error) {
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*gatedConn); ok {
				c.owner.Store(e)
				e.connected.Store(true)
			}
		},
		WroteRequest: e.setSent,
	}
	getBody := req.GetBody
	ctx := context.WithValue(req.Context(), bodyBytesKey{}, req.ContentLength)
	req = req.WithContext(httptrace.WithClientTrace(ctx, trace))
	req.GetBody = nil
	tr := t.pooled
	if !repeatable {
		tr = t.singleUse
	}
	resp, err := tr.RoundTrip(req)
	if err != nil && getBody != nil && e.mayResend() {
		if req.Body, err = getBody(); err == nil {
			resp, err = t.singleUse.RoundTrip(req)
		}
	}
	if err != nil {
		if cause := context.Cause(req.Context()); cause != nil {
			err = cause
		}
		return nil, errors.Wrap(err, "HTTP round trip")
	}
	if !isFinalStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		return nil, &InvalidResponseError{Detail: "its status is " + strconv.Itoa(resp.StatusCode)}
	}
	if isUnframed(resp) {
		resp.Body = &unframedBody{ReadCloser: resp.Body, ctx: req.Context(), exchange: e}
	}
	return resp, nil
}

func (t *transports) closeIdle() {
	t.pooled.CloseIdleConnections()
	t.singleUse.CloseIdleConnections()
}
