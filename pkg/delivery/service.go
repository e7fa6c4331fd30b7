package delivery

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/request"
)

// pieceBytes is the size in which the body of a service's answer is passed on.
const pieceBytes = 16 << 10

// hopHeaders hold for one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// ownHeaders begins the names of headers between a caller and this system.
const ownHeaders = "Carawayknot-"

var errOpenEnd = errors.New("the answer states neither a length nor chunks, so that its end can't be told")

// service sends a call of a plain service and passes its answer on.
func (a *attempt) service() error {
	req, err := a.serviceRequest()
	if err != nil {
		return err
	}
	resp, err := a.do(req, a.permitted)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := a.checkService(resp); err != nil {
		return err
	}
	return a.passBody(resp)
}

func (a *attempt) serviceRequest() (*http.Request, error) {
	r := a.call.Request
	url := "http://" + a.call.Upstream.Address + r.Path
	req, err := http.NewRequestWithContext(a.ctx, r.Method, url, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.Header = EndToEnd(r.Header)
	req.Header.Del("Authorization")
	for name := range req.Header {
		if strings.HasPrefix(name, ownHeaders) {
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

// EndToEnd returns a copy of the headers that are meant for the other end, not for one connection.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, list := range out.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

func (a *attempt) checkService(resp *http.Response) error {
	if err := a.checkEcho(resp); err != nil {
		return err
	}
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return a.statusError(resp)
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return &cutError{cause: errOpenEnd}
	}
	return nil
}

// passBody passes head and body on; what a request that must not run twice answers is read to its end in any case.
func (a *attempt) passBody(resp *http.Response) error {
	h := request.Head{Status: resp.StatusCode, Header: EndToEnd(resp.Header)}
	written := a.call.Writer.WriteHead(a.ctx, a.call, h)
	piece := make([]byte, pieceBytes)
	for {
		if written != nil && a.call.Request.Repeatable {
			return &writeError{cause: written}
		}
		n, err := resp.Body.Read(piece)
		if n > 0 {
			if a.firstToken == 0 {
				a.firstToken = max(a.Clock.Now()-a.began, 1)
			}
			if written == nil {
				written = a.writePiece(piece[:n])
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return a.broken(err)
		}
	}
	a.end = &request.End{}
	if written == nil {
		written = a.call.Writer.WriteEnd(a.ctx, a.call, *a.end)
	}
	if written != nil {
		return &writeError{cause: written}
	}
	return nil
}

// writePiece passes bytes on; the upstream is not to blame for the time that takes.
func (a *attempt) writePiece(b []byte) error {
	a.watch.pause()
	defer a.watch.resume()
	return a.call.Writer.WriteBytes(a.ctx, a.call, b)
}
