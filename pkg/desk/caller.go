package desk

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	chatPath      = "/v1/chat/completions"
	servicePrefix = "/services/"
	// retrySoon is the wait that is told when this instance can't serve now, in milliseconds.
	retrySoon = 1 * clock.Second
)

// Caller is the HTTP interface for callers.
type Caller struct {
	settings.Common
	// Line answers the calls.
	Line request.Handler
	// Snapshot returns the newest snapshot, nil before the first.
	Snapshot func() *catalogue.Snapshot
	// Ready returns why the instance should get no requests, or nil.
	Ready func() error
	// InFlight counts the requests being served.
	InFlight *InFlight
	// Budget bounds the bodies of requests, and the answers that are held to be sent as a whole; without it they are not
	// bounded.
	Budget *delivery.Budget
	// Metrics counts what callers see; it is optional.
	Metrics *Metrics

	keys keyIndex
}

// ServeHTTP answers a caller.
func (d *Caller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/healthz":
		writeText(w, http.StatusOK, "alive\n")
	case r.URL.Path == "/readyz":
		d.serveReady(w)
	case r.URL.Path == "/metrics" && d.Metrics != nil:
		d.Metrics.ServeHTTP(w, r)
	case r.URL.Path == chatPath && r.Method != http.MethodPost:
		w.Header().Set("Allow", http.MethodPost)
		writeText(w, http.StatusMethodNotAllowed, "use POST\n")
	case r.URL.Path == chatPath:
		d.serve(w, r, (*intake).readChat)
	case strings.HasPrefix(r.URL.Path, servicePrefix):
		d.serve(w, r, (*intake).readService)
	default:
		writeError(w, request.Refuse(request.ReasonNotFound, 0, "no such path; use %s or %s{name}/", chatPath, servicePrefix))
	}
}

func (d *Caller) serveReady(w http.ResponseWriter) {
	if err := d.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error()+"\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text))
}

// serve takes one request through the line.
func (d *Caller) serve(w http.ResponseWriter, r *http.Request, read func(*intake) error) {
	began := d.Clock.Now()
	if !d.InFlight.Enter(d.Settings.Limits.InFlight) {
		d.refuse(w, request.Refuse(request.ReasonOverloaded, retrySoon, "the instance serves as many requests as it may"))
		return
	}
	defer d.InFlight.Leave()
	in := &intake{Caller: d, w: w, r: r, request: &request.Request{ArrivedAt: began, Repeatable: true}}
	defer in.close()
	if err := in.read(read); err != nil {
		d.refuse(w, err)
		return
	}
	c := &request.Call{Request: in.request}
	out := d.writer(w, in.request)
	c.Writer = out
	answered, err := d.handle(r.Context(), c, out)
	d.Metrics.observe(c, err, d.Clock.Now()-began)
	d.note(c, err)
	if err != nil && !answered {
		out.fail(c, err)
	}
}

// handle takes the call through the line, and tells whether the caller has its final answer already.
func (d *Caller) handle(ctx context.Context, c *request.Call, out answerWriter) (answered bool, err error) {
	if c.Request.Repeatable {
		return false, d.Line.Handle(ctx, c)
	}
	return d.handleOnce(ctx, c, out)
}

func (d *Caller) refuse(w http.ResponseWriter, err error) {
	d.Metrics.refused("", err)
	writeError(w, err)
}

func (d *Caller) note(c *request.Call, err error) {
	log := d.Log.WithName("desk").WithValues("request", c.Request.ID, "workspace", c.Request.Workspace, "attempts", c.Attempts, "cost", c.Cost())
	if c.Upstream != nil {
		log = log.WithValues("upstream", c.Upstream.Name)
	}
	if c.Version != nil {
		log = log.WithValues("version", c.Version.ID)
	}
	if err != nil {
		log.Info("refused", "error", err.Error())
		return
	}
	log.V(1).Info("answered")
}

func staleRefusal(err error) *request.Refusal {
	r := request.Refuse(request.ReasonStaleView, retrySoon, "this instance is cut off, ask another")
	r.Cause = err
	return r
}

// answerWriter takes an answer, or the error in its place.
type answerWriter interface {
	request.Writer
	// hasStarted tells whether the caller has seen a part of the answer.
	hasStarted() bool
	// fail gives the caller the error as the end of the answer.
	fail(c *request.Call, err error)
	// failNow gives the caller the error in place of an answer that has not started, before the handler returns.
	failNow(c *request.Call, err error)
}

func (d *Caller) writer(w http.ResponseWriter, q *request.Request) answerWriter {
	out := &output{w: w, rc: http.NewResponseController(w), clock: d.Clock}
	switch {
	case q.Service != "":
		return &serviceWriter{output: out}
	case q.Stream:
		return &streamWriter{output: out}
	default:
		return &wholeWriter{output: out, budget: d.Budget}
	}
}

// writeJSON writes v as the whole answer.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
