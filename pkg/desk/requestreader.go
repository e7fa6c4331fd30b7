package desk

import (
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/request"
)

const bodyReadTimeout = 30 * clock.Second

// requestReader authenticates, reads and checks one request.
type requestReader struct {
	*CallerHandler
	w       http.ResponseWriter
	r       *http.Request
	snap    *catalogue.Snapshot
	request *request.Request
	// bodyMemory reserves memory for the body until the request ends.
	bodyMemory *delivery.Allocation
}

func (rr *requestReader) close() {
	if rr.bodyMemory != nil {
		rr.bodyMemory.Close()
	}
}

// read checks the state of the instance, the workspace key and the headers; readPayload reads what depends on the API.
func (rr *requestReader) read(readPayload func(*requestReader) error) error {
	rr.snap = rr.Snapshot()
	if rr.snap == nil {
		return request.Refuse(request.ReasonStaleView, defaultRetryAfter, "the configuration is not known yet")
	}
	if rr.snap.Draining {
		return request.Refuse(request.ReasonDraining, defaultRetryAfter, "the instance is shutting down, ask another")
	}
	if err := rr.snap.Fresh(rr.Clock.Now(), rr.Settings.Times.Horizon); err != nil {
		return staleRefusal(err)
	}
	ws := rr.keys.workspace(rr.snap.Config, bearerToken(rr.r))
	if ws == nil {
		return request.Refuse(request.ReasonUnauthorized, 0, "send the workspace key as Authorization: Bearer <key>")
	}
	q := rr.request
	q.Workspace = ws.Name
	if err := readHeaders(rr.r.Header, q); err != nil {
		return err
	}
	rr.w.Header().Set(HeaderRequestID, q.ID)
	if err := readPayload(rr); err != nil {
		return err
	}
	if q.Deadline == 0 {
		q.Deadline = q.ArrivedAt + defaultTimeLimit(rr.snap.Config, q)
	}
	if !q.Repeatable && q.Key == "" {
		return refuseField(HeaderRequestKey, "a request that must not run twice needs a key of its own in this header")
	}
	return nil
}

// readChat reads a chat completion.
func (rr *requestReader) readChat() error {
	body, err := rr.readBody()
	if err != nil {
		return err
	}
	return parseChat(body, rr.request)
}

// readService reads a request to a plain service.
func (rr *requestReader) readService() error {
	q := rr.request
	serviceName, rest, _ := strings.Cut(strings.TrimPrefix(rr.r.URL.EscapedPath(), servicePrefix), "/")
	s := rr.snap.Config.Services[serviceName]
	if s == nil {
		return request.Refuse(request.ReasonNotFound, 0, "no such service")
	}
	q.Service, q.Method, q.Header = serviceName, rr.r.Method, rr.r.Header
	q.Path = "/" + rest
	if rr.r.URL.RawQuery != "" {
		q.Path += "?" + rr.r.URL.RawQuery
	}
	q.Repeatable = q.Repeatable && s.Repeatable(rr.r.Method)
	body, err := rr.readBody()
	q.Body = body
	return err
}

// readBody reads the body within the limits on its size, time and memory.
func (rr *requestReader) readBody() ([]byte, error) {
	limit := rr.Settings.Limits.BodyBytes
	if rr.r.ContentLength > limit {
		return nil, refuseTooLarge(limit)
	}
	if err := rr.reserve(limit); err != nil {
		return nil, err
	}
	rc := http.NewResponseController(rr.w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyReadTimeout.Duration()))
	body, err := io.ReadAll(http.MaxBytesReader(rr.w, rr.r.Body, limit))
	_ = rc.SetReadDeadline(time.Time{})
	var maxBytesErr *http.MaxBytesError
	if errors.As(err, &maxBytesErr) {
		return nil, refuseTooLarge(limit)
	}
	if err != nil {
		return nil, refuseField("body", "the body could not be read to its end")
	}
	if rr.bodyMemory != nil {
		rr.bodyMemory.LowerFloor(int64(len(body)))
	}
	return body, nil
}

func refuseTooLarge(limit int64) *request.Refusal {
	return request.Refuse(request.ReasonTooLarge, 0, "the body may have at most %d bytes", limit)
}

// reserve reserves memory for the body; one of unknown length counts as one of limit bytes.
func (rr *requestReader) reserve(limit int64) error {
	if rr.Budget == nil {
		return nil
	}
	n := rr.r.ContentLength
	if n < 0 {
		n = limit
	}
	allocation, ok := rr.Budget.Reserve(n)
	if !ok {
		return request.Refuse(request.ReasonMemory, defaultRetryAfter, "the memory for requests and answers is used up")
	}
	rr.bodyMemory = allocation
	return nil
}
