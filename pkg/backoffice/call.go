package backoffice

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// replyLimit bounds the body of an ordinary answer, in bytes.
	replyLimit = 8 << 20
	// batchLimit bounds the body of one read of the log, in bytes.
	batchLimit = 64 << 20
	// detailLimit bounds what an error keeps of a body, in bytes.
	detailLimit = 200
	// connectTimeout bounds connecting to a service of the platform.
	connectTimeout = time.Second
	// idleConnections bounds the idle connections to one service.
	idleConnections = 16
)

// defaultHTTP is used by clients that have none of their own; a call is bounded by its context.
var defaultHTTP = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
	MaxIdleConnsPerHost: idleConnections,
	IdleConnTimeout:     time.Minute,
	DisableCompression:  true,
}}

// call is one HTTP exchange with a service of the platform.
type call struct {
	service string
	client  *http.Client
	method  string
	url     string
	// in is sent as JSON unless it is nil.
	in any
	// tag, when set, asks for an answer only when it is no longer current.
	tag string
	// limit bounds the body of the answer, in bytes; 0 means replyLimit.
	limit int64
}

// reply is the answer of a service, read to its end.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// do sends the call once. Its errors are *UnavailableError and *ReplyError; any status is an answer except 429 and 503.
func (c *call) do(ctx context.Context) (*reply, error) {
	req, sent, err := c.request(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := c.once().Do(req)
	if err != nil {
		return nil, &UnavailableError{Service: c.service, Unknown: sent(), Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := c.read(resp.Body)
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		limited := &LimitedError{Service: c.service, RetryAfter: retryAfter(resp.Header)}
		return nil, &UnavailableError{Service: c.service, Cause: limited}
	case resp.StatusCode == http.StatusServiceUnavailable:
		return nil, &UnavailableError{Service: c.service, Cause: &StatusError{c.service, resp.StatusCode, detail(body)}}
	case err != nil:
		return nil, &UnavailableError{Service: c.service, Unknown: c.effect(), Cause: err}
	}
	return &reply{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// once returns a copy of the client that follows no redirect, because a redirect would send the call again.
func (c *call) once() *http.Client {
	client := defaultHTTP
	if c.client != nil {
		client = c.client
	}
	strict := *client
	strict.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &strict
}

// request builds the request, and a function that tells after a failure whether the call may have taken effect.
func (c *call) request(ctx context.Context) (*http.Request, func() bool, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), c.method, c.url, nil)
	if err != nil {
		return nil, nil, errors.Wrap(err, c.service)
	}
	if c.tag != "" {
		req.Header.Set("If-None-Match", c.tag)
	}
	if c.in == nil {
		return req, func() bool { return c.effect() && connected.Load() }, nil
	}
	raw, err := json.Marshal(c.in)
	if err != nil {
		return nil, nil, errors.Wrap(err, c.service)
	}
	body := newOneShotBody(raw)
	req.Body, req.ContentLength = body, int64(len(raw))
	req.Header.Set("Content-Type", "application/json")
	return req, func() bool { return !body.seal() }, nil
}

// effect tells whether the call changes anything at the service.
func (c *call) effect() bool { return c.method != http.MethodGet }

func (c *call) read(r io.Reader) ([]byte, error) {
	limit := c.limit
	if limit == 0 {
		limit = replyLimit
	}
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return body, err
	}
	if int64(len(body)) > limit {
		return nil, &ReplyError{Service: c.service, Cause: errors.Newf("longer than %d bytes", limit)}
	}
	return body, nil
}

// decode does the call and decodes the answer into out when its status is want.
func (c *call) decode(ctx context.Context, want int, out any) error {
	rep, err := c.do(ctx)
	if err != nil {
		return err
	}
	if rep.status != want {
		return c.unexpected(rep)
	}
	return c.unmarshal(rep, out)
}

// unmarshal decodes the body of rep; the call has taken effect when that fails.
func (c *call) unmarshal(rep *reply, out any) error {
	err := json.Unmarshal(rep.body, out)
	if err == nil {
		return nil
	}
	bad := &ReplyError{Service: c.service, Cause: errors.Wrapf(err, "bad JSON %q", detail(rep.body))}
	if c.effect() {
		return &UnavailableError{Service: c.service, Unknown: true, Cause: bad}
	}
	return bad
}

// unexpected returns the error for a status that the protocol does not name.
// A call that was refused as wrong (4xx) had no effect; after any other status a change may have taken effect.
func (c *call) unexpected(rep *reply) error {
	err := &StatusError{Service: c.service, Status: rep.status, Detail: detail(rep.body)}
	wrong := rep.status >= http.StatusBadRequest && rep.status < http.StatusInternalServerError
	if wrong {
		return err
	}
	return &UnavailableError{Service: c.service, Unknown: c.effect(), Cause: err}
}

func detail(body []byte) string {
	if len(body) > detailLimit {
		body = body[:detailLimit]
	}
	return string(body)
}

// retryAfter returns the header Retry-After in milliseconds, 0 when it is missing or no whole number of seconds.
func retryAfter(h http.Header) clock.Millis {
	seconds, err := strconv.ParseInt(h.Get("Retry-After"), 10, 32)
	if err != nil || seconds < 0 {
		return 0
	}
	return clock.Millis(seconds) * clock.Second
}
