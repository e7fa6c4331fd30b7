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

// bodyTime bounds the reading of a body.
const bodyTime = 30 * clock.Second

// intake is the reading of one request.
type intake struct {
	*Caller
	w       http.ResponseWriter
	r       *http.Request
	snap    *catalogue.Snapshot
	request *request.Request
	// body is the room for the body, which is held as long as the request is.
	body *delivery.Hold
}

func (in *intake) close() {
	if in.body != nil {
		in.body.Close()
	}
}

// read checks who asks and what for; what reads the rest by the kind of the request.
func (in *intake) read(what func(*intake) error) error {
	in.snap = in.Snapshot()
	if in.snap == nil {
		return request.Refuse(request.ReasonStaleView, retrySoon, "the configuration is not known yet")
	}
	if in.snap.Draining {
		return request.Refuse(request.ReasonDraining, retrySoon, "the instance is shutting down, ask another")
	}
	if err := in.snap.Fresh(in.Clock.Now(), in.Settings.Times.Horizon); err != nil {
		return staleRefusal(err)
	}
	ws := in.keys.workspace(in.snap.Config, bearer(in.r))
	if ws == nil {
		return request.Refuse(request.ReasonUnauthorized, 0, "send the workspace key as Authorization: Bearer <key>")
	}
	q := in.request
	q.Workspace = ws.Name
	if err := readHeaders(in.r.Header, q); err != nil {
		return err
	}
	in.w.Header().Set(HeaderRequestID, q.ID)
	if err := what(in); err != nil {
		return err
	}
	if q.Deadline == 0 {
		q.Deadline = q.ArrivedAt + defaultTime(in.snap.Config, q)
	}
	if !q.Repeatable && q.Key == "" {
		return refuseField(HeaderRequestKey, "a request that must not run twice needs a key of its own in this header")
	}
	return nil
}

// readChat fills in a chat completion.
func (in *intake) readChat() error {
	body, err := in.readBody()
	if err != nil {
		return err
	}
	return parseChat(body, in.request)
}

// readService fills in a call of a plain service.
func (in *intake) readService() error {
	q := in.request
	name, rest, _ := strings.Cut(strings.TrimPrefix(in.r.URL.EscapedPath(), servicePrefix), "/")
	s := in.snap.Config.Services[name]
	if s == nil {
		return request.Refuse(request.ReasonNotFound, 0, "no such service")
	}
	q.Service, q.Method, q.Header = name, in.r.Method, in.r.Header
	q.Path = "/" + rest
	if in.r.URL.RawQuery != "" {
		q.Path += "?" + in.r.URL.RawQuery
	}
	q.Repeatable = q.Repeatable && s.Repeatable(in.r.Method)
	body, err := in.readBody()
	q.Body = body
	return err
}

// readBody reads the body within its bounds of size, time and memory.
func (in *intake) readBody() ([]byte, error) {
	limit := in.Settings.Limits.BodyBytes
	if in.r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	if err := in.reserve(limit); err != nil {
		return nil, err
	}
	rc := http.NewResponseController(in.w)
	_ = rc.SetReadDeadline(time.Now().Add(bodyTime.Duration()))
	body, err := io.ReadAll(http.MaxBytesReader(in.w, in.r.Body, limit))
	_ = rc.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, tooLarge(limit)
	}
	if err != nil {
		return nil, refuseField("body", "the body could not be read to its end")
	}
	if in.body != nil {
		in.body.Shrink(int64(len(body)))
	}
	return body, nil
}

func tooLarge(limit int64) *request.Refusal {
	return request.Refuse(request.ReasonTooLarge, 0, "the body may have at most %d bytes", limit)
}

// reserve takes room for the body; one that does not state its length counts as the longest.
func (in *intake) reserve(limit int64) error {
	if in.Budget == nil {
		return nil
	}
	n := in.r.ContentLength
	if n < 0 {
		n = limit
	}
	hold, ok := in.Budget.Open(n)
	if !ok {
		return request.Refuse(request.ReasonMemory, retrySoon, "the memory for requests and answers is used up")
	}
	in.body = hold
	return nil
}
