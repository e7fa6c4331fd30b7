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
	// defaultRetryAfter is the retry delay sent to callers when this instance can't serve them now.
	defaultRetryAfter = 1 * clock.Second
)

// CallerHandler serves the HTTP API for callers, the health checks and the metrics.
type CallerHandler struct {
	settings.Common
	// Handler is the filter chain that handles the calls.
	Handler request.Handler
	// Snapshot returns the newest snapshot, or nil before the first one.
	Snapshot func() *catalogue.Snapshot
	// Ready returns an error while the instance should receive no requests.
	Ready func() error
	// InFlight counts the requests being served and limits their number.
	InFlight *InFlight
	// Budget bounds the memory for request bodies and for responses that are buffered whole; nil means no bound.
	Budget *delivery.Budget
	// Metrics is optional.
	Metrics *Metrics

	keys keyIndex
}

// ServeHTTP routes a request by its path to a health check, the metrics, a chat completion or a plain service.
func (h *CallerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/healthz":
		writeText(w, http.StatusOK, "alive\n")
	case r.URL.Path == "/readyz":
		h.serveReadiness(w)
	case r.URL.Path == "/metrics" && h.Metrics != nil:
		h.Metrics.ServeHTTP(w, r)
	case r.URL.Path == chatPath && r.Method != http.MethodPost:
		w.Header().Set("Allow", http.MethodPost)
		writeText(w, http.StatusMethodNotAllowed, "use POST\n")
	case r.URL.Path == chatPath:
		h.serve(w, r, (*requestReader).readChat)
	case strings.HasPrefix(r.URL.Path, servicePrefix):
		h.serve(w, r, (*requestReader).readService)
	default:
		writeError(w, request.Refuse(request.ReasonNotFound, 0, "no such path; use %s or %s{name}/", chatPath, servicePrefix))
	}
}

func (h *CallerHandler) serveReadiness(w http.ResponseWriter) {
	if err := h.Ready(); err != nil {
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

// serve admits and reads one request, passes it through the filter chain and writes the error if that fails.
func (h *CallerHandler) serve(w http.ResponseWriter, r *http.Request, readPayload func(*requestReader) error) {
	startedAt := h.Clock.Now()
	if !h.InFlight.TryAcquire(h.Settings.Limits.InFlight) {
		h.refuse(w, request.Refuse(request.ReasonOverloaded, defaultRetryAfter, "the instance serves as many requests as it may"))
		return
	}
	defer h.InFlight.Release()
	rr := &requestReader{CallerHandler: h, w: w, r: r, request: &request.Request{ArrivedAt: startedAt, Repeatable: true}}
	defer rr.close()
	if err := rr.read(readPayload); err != nil {
		h.refuse(w, err)
		return
	}
	c := &request.Call{Request: rr.request}
	out := h.newResponseWriter(w, rr.request)
	c.Writer = out
	answered, err := h.handle(r.Context(), c, out)
	h.Metrics.recordCall(c, err, h.Clock.Now()-startedAt)
	h.logOutcome(c, err)
	if err != nil && !answered {
		out.fail(c, err)
	}
}

// handle passes the call through the filter chain and reports whether the caller already has its final response.
func (h *CallerHandler) handle(ctx context.Context, c *request.Call, out responseWriter) (answered bool, err error) {
	if c.Request.Repeatable {
		return false, h.Handler.Handle(ctx, c)
	}
	return h.handleNonRepeatable(ctx, c, out)
}

func (h *CallerHandler) refuse(w http.ResponseWriter, err error) {
	h.Metrics.countRefusal("", err)
	writeError(w, err)
}

func (h *CallerHandler) logOutcome(c *request.Call, err error) {
	log := h.Log.WithName("desk").WithValues("request", c.Request.ID, "workspace", c.Request.Workspace, "attempts", c.Attempts, "cost", c.Cost())
	if c.Upstream != nil {
		log = log.WithValues("upstream", c.Upstream.Name)
	}
	if c.Version != nil {
		log = log.WithValues("version", c.Version.ID)
	}
	if err != nil {
		log.Info("request failed", "error", err.Error())
		return
	}
	log.V(1).Info("request completed")
}

func staleRefusal(err error) *request.Refusal {
	r := request.Refuse(request.ReasonStaleView, defaultRetryAfter, "this instance is cut off, ask another")
	r.Cause = err
	return r
}

// responseWriter writes the response to a caller, or an error in its place.
type responseWriter interface {
	request.Writer
	// hasStarted reports whether a part of the response was sent.
	hasStarted() bool
	// fail ends the response with the error.
	fail(c *request.Call, err error)
	// failAndClose sends the error in place of a response that has not started, before the handler returns.
	failAndClose(c *request.Call, err error)
}

func (h *CallerHandler) newResponseWriter(w http.ResponseWriter, q *request.Request) responseWriter {
	out := &output{w: w, rc: http.NewResponseController(w), clock: h.Clock}
	switch {
	case q.Service != "":
		return &serviceWriter{output: out}
	case q.Stream:
		return &streamWriter{output: out}
	default:
		return &bufferedWriter{output: out, budget: h.Budget}
	}
}

// writeJSON writes v as the whole response.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
