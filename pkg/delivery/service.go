package delivery

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/request"
)

// copyBufferBytes is the read size for forwarded response bodies.
const copyBufferBytes = 16 << 10

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// privateHeaderPrefix starts the names of headers between callers and the router; plain services do not get them.
const privateHeaderPrefix = "Carawayknot-"

// sendService sends a call to a plain service and forwards the response.
func (a *attempt) sendService() error {
	req, err := a.serviceRequest()
	if err != nil {
		return err
	}
	resp, err := a.do(req, a.checkPermit)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := a.checkServiceHead(resp); err != nil {
		return err
	}
	return a.forwardBody(resp)
}

func (a *attempt) serviceRequest() (*http.Request, error) {
	r := a.call.Request
	url := "http://" + a.call.Upstream.Address + r.Path
	req, err := http.NewRequestWithContext(a.ctx, r.Method, url, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.Header = EndToEndHeaders(r.Header)
	req.Header.Del("Authorization")
	for name := range req.Header {
		if strings.HasPrefix(name, privateHeaderPrefix) {
			req.Header.Del(name)
		}
	}
	req.Header.Set(requestIDHeader, a.id)
	req.Header.Del("Idempotency-Key")
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	return req, nil
}

// EndToEndHeaders returns a copy of h without hop-by-hop headers; it never returns nil.
func EndToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range out.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

func (a *attempt) checkServiceHead(resp *http.Response) error {
	if err := a.checkEcho(resp); err != nil {
		return err
	}
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return a.statusError(resp)
	}
	return nil
}

// forwardBody forwards head and body. The response to a non-repeatable request is read to its end even if the caller is gone,
// because its outcome has to be known.
func (a *attempt) forwardBody(resp *http.Response) error {
	h := request.Head{Status: resp.StatusCode, Header: EndToEndHeaders(resp.Header)}
	writeErr := a.call.Writer.WriteHead(a.ctx, a.call, h)
	boundary := newEventBoundary(resp)
	buf := make([]byte, copyBufferBytes)
	for {
		if writeErr != nil && a.call.Request.Repeatable {
			return &writeError{cause: writeErr}
		}
		n, err := resp.Body.Read(buf)
		boundary.add(buf[:n])
		if n > 0 {
			if a.firstToken == 0 {
				a.firstToken = max(a.Clock.Now()-a.startedAt, 1)
			}
			if writeErr == nil {
				writeErr = a.forwardBytes(buf[:n])
			}
		}
		if errors.Is(err, io.EOF) {
			err = boundary.check()
			if err == nil {
				break
			}
		}
		if err != nil {
			return a.readError(err)
		}
	}
	a.end = &request.End{}
	if writeErr == nil {
		writeErr = a.call.Writer.WriteEnd(a.ctx, a.call, *a.end)
	}
	if writeErr != nil {
		return &writeError{cause: writeErr}
	}
	return nil
}

// forwardBytes writes b to the caller; meanwhile the stall timeout is paused, because a slow caller is not the upstream's fault.
func (a *attempt) forwardBytes(b []byte) error {
	a.watchdog.pause()
	defer a.watchdog.resume()
	return a.call.Writer.WriteBytes(a.ctx, a.call, b)
}
