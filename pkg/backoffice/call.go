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
	maxReplyBytes = 8 << 20
	// maxBatchBytes bounds the response to one read of the log, which may hold many records.
	maxBatchBytes = 64 << 20
	// maxDetailBytes bounds the part of a response body that an error keeps.
	maxDetailBytes = 200
	connectTimeout = time.Second
	// maxIdleConns is per service.
	maxIdleConns = 16
)

// defaultClient serves clients without an HTTP client of their own; it sets no overall timeout, as each call is bounded by its
// context.
var defaultClient = &http.Client{Transport: &http.Transport{
	DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
	MaxIdleConnsPerHost: maxIdleConns,
	IdleConnTimeout:     time.Minute,
	DisableCompression:  true,
}}

// call is one HTTP request to a service of the platform.
type call struct {
	service string
	client  *http.Client
	method  string
	url     string
	// payload is sent as JSON unless it is nil.
	payload any
	// etag, when set, makes the request conditional: the service responds with 304 while the resource still has this ETag.
	etag string
	// maxBytes bounds the response body; 0 means maxReplyBytes.
	maxBytes int64
}

// reply is a response whose body was read in full.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// do sends the call once, without retries; it returns an *UnavailableError if there is no response, if the response can't be read
// or if its status is 429 or 503, and a reply for any other status.
func (c *call) do(ctx context.Context) (*reply, error) {
	req, mayHaveRun, err := c.newRequest(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := c.httpClient().Do(req)
	if err != nil {
		return nil, &UnavailableError{Service: c.service, OutcomeUnknown: mayHaveRun(), Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := c.readBody(resp.Body)
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		rateLimited := &RateLimitedError{Service: c.service, RetryAfter: retryAfter(resp.Header)}
		return nil, &UnavailableError{Service: c.service, Cause: rateLimited}
	case resp.StatusCode == http.StatusServiceUnavailable:
		return nil, &UnavailableError{Service: c.service, Cause: &StatusError{c.service, resp.StatusCode, excerpt(body)}}
	case err != nil:
		return nil, &UnavailableError{Service: c.service, OutcomeUnknown: c.mutates(), Cause: err}
	}
	return &reply{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// httpClient returns a copy of the client that follows no redirects, because a redirect would send the call again.
func (c *call) httpClient() *http.Client {
	client := defaultClient
	if c.client != nil {
		client = c.client
	}
	noRedirect := *client
	noRedirect.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &noRedirect
}

// newRequest returns the request, and a function that reports after a failure whether the call may have taken effect at the
// service.
func (c *call) newRequest(ctx context.Context) (*http.Request, func() bool, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), c.method, c.url, nil)
	if err != nil {
		return nil, nil, errors.Wrap(err, c.service)
	}
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	if c.payload == nil {
		return req, func() bool { return c.mutates() && connected.Load() }, nil
	}
	raw, err := json.Marshal(c.payload)
	if err != nil {
		return nil, nil, errors.Wrap(err, c.service)
	}
	body := newOneShotBody(raw)
	req.Body, req.ContentLength = body, int64(len(raw))
	req.Header.Set("Content-Type", "application/json")
	return req, func() bool { return !body.seal() }, nil
}

// mutates reports whether the call may change state at the service.
func (c *call) mutates() bool { return c.method != http.MethodGet }

// readBody fails with a *ReplyError if the body is longer than c.maxBytes.
func (c *call) readBody(r io.Reader) ([]byte, error) {
	maxBytes := c.maxBytes
	if maxBytes == 0 {
		maxBytes = maxReplyBytes
	}
	body, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err != nil {
		return body, err
	}
	if int64(len(body)) > maxBytes {
		return nil, &ReplyError{Service: c.service, Cause: errors.Newf("longer than %d bytes", maxBytes)}
	}
	return body, nil
}

// doJSON sends the call and decodes the response body into out if the status is want.
func (c *call) doJSON(ctx context.Context, want int, out any) error {
	rep, err := c.do(ctx)
	if err != nil {
		return err
	}
	if rep.status != want {
		return c.unexpectedStatus(rep)
	}
	return c.unmarshal(rep, out)
}

// unmarshal decodes the body of rep. If that fails, a mutating call may have taken effect all the same.
func (c *call) unmarshal(rep *reply, out any) error {
	err := json.Unmarshal(rep.body, out)
	if err == nil {
		return nil
	}
	invalid := &ReplyError{Service: c.service, Cause: errors.Wrapf(err, "bad JSON %q", excerpt(rep.body))}
	if c.mutates() {
		return &UnavailableError{Service: c.service, OutcomeUnknown: true, Cause: invalid}
	}
	return invalid
}

// unexpectedStatus returns the error for a status that the protocol does not define. A call rejected with 4xx had no effect;
// after any other status a mutating call may have taken effect.
func (c *call) unexpectedStatus(rep *reply) error {
	err := &StatusError{Service: c.service, Status: rep.status, Detail: excerpt(rep.body)}
	clientError := rep.status >= http.StatusBadRequest && rep.status < http.StatusInternalServerError
	if clientError {
		return err
	}
	return &UnavailableError{Service: c.service, OutcomeUnknown: c.mutates(), Cause: err}
}

// excerpt returns the start of a response body, for error messages.
func excerpt(body []byte) string {
	if len(body) > maxDetailBytes {
		body = body[:maxDetailBytes]
	}
	return string(body)
}

// retryAfter returns the Retry-After header in milliseconds, or 0 if it is missing or not a whole number of seconds.
func retryAfter(h http.Header) clock.Millis {
	seconds, err := strconv.ParseInt(h.Get("Retry-After"), 10, 32)
	if err != nil || seconds < 0 {
		return 0
	}
	return clock.Millis(seconds) * clock.Second
}
