package standin

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/backoffice/fake"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// EngineFaults are the properties and faults of an engine.
type EngineFaults struct {
	Faults
	// Versions are the versions that are loaded.
	Versions []catalogue.VersionID
	// Bearable bounds the requests in flight; 0 means no bound.
	Bearable int
	// ColdBearable replaces Bearable, unless it is 0, during a cold start, which lasts ColdMillis.
	ColdBearable int
	ColdMillis   clock.Millis
	// HideCold omits cold starts from load reports.
	HideCold bool
	// FallOver makes the engine drop all requests on overload, instead of rejecting the new one.
	FallOver bool
	// FirstTokenMillis is the time to the first token, TokenMillis the time between tokens.
	FirstTokenMillis clock.Millis
	TokenMillis      clock.Millis
	// Tokens is the length of an answer; 0 means defaultTokens.
	Tokens int
	// Bad are the versions that send wrong tokens.
	Bad []catalogue.VersionID
	// CutAfter closes the connection after that many tokens; 0 means never.
	CutAfter int
	// Unframed sends answers without chunks, which end with their connection; CutAfter then resets it.
	Unframed bool
	// PauseMillis is a silence in an answer before the token PauseAfter.
	PauseMillis clock.Millis
	PauseAfter  int
	// SkipDone omits the [DONE] event at the end of an answer, after which the response ends normally.
	SkipDone bool
	// Crossed answers with the ID and the tokens of another request.
	Crossed bool
	// Repeat sends each event twice.
	Repeat bool
	// LateMillis delays the response, its header included.
	LateMillis clock.Millis
	// IgnoreFence accepts orders with outdated fencing tokens.
	IgnoreFence bool
	// HoldBytes bounds the bytes of unsent answers, above which the engine drops all requests; 0 means no bound.
	HoldBytes int64
	// LagMillis is the maximum age of load reports.
	LagMillis clock.Millis
}

// inColdStart reports whether a cold start that began elapsed milliseconds ago still lasts.
func (f *EngineFaults) inColdStart(elapsed clock.Millis) bool { return elapsed < f.ColdMillis }

// maxInFlight returns the bound on requests in flight, or 0 if there is none.
func (f *EngineFaults) maxInFlight(cold bool) int {
	if cold && f.ColdBearable > 0 {
		return f.ColdBearable
	}
	return f.Bearable
}

// Engine is a stand-in for a model engine.
type Engine struct {
	Faults FaultInjector[EngineFaults, *EngineFaults]
	// OnAnswer is optional; it is called with each complete answer, just before the last token is sent.
	OnAnswer func(fake.Answer)

	mu          sync.Mutex
	coldStartAt clock.Millis
	jobs        map[string]*job
	stats       EngineStats
	requestLog  []RequestRecord
	orders      fake.OrderLog
	events      []backoffice.CacheEvent
	report      backoffice.LoadReport
	reportAt    clock.Millis
}

// NewEngine returns an engine at the beginning of a cold start.
func NewEngine(f EngineFaults) *Engine {
	e := &Engine{jobs: map[string]*job{}, coldStartAt: realClock.Now()}
	e.stats.ByVersion = map[catalogue.VersionID]*VersionStats{}
	e.Faults.Update(func(current *EngineFaults) { *current = f })
	return e
}

// Handler serves the protocol of an engine and the control endpoints /faults, GET /stats, GET /requests, GET /orders and POST
// /cold, which begins a cold start.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &e.Faults)
	mux.HandleFunc("GET /stats", e.getStats)
	mux.HandleFunc("GET /requests", e.getRequests)
	mux.HandleFunc("GET /orders", e.getOrders)
	mux.HandleFunc("POST /cold", e.startCold)
	mux.Handle("POST /v1/chat/completions", e.Faults.Wrap(http.HandlerFunc(e.complete)))
	mux.Handle("DELETE /v1/requests/{id}", e.Faults.Wrap(http.HandlerFunc(e.cancel)))
	mux.Handle("GET /load", e.Faults.Wrap(http.HandlerFunc(e.load)))
	mux.Handle("GET /cache/events", e.Faults.Wrap(http.HandlerFunc(e.cacheEvents)))
	mux.Handle("POST /orders", e.Faults.Wrap(http.HandlerFunc(e.order)))
	return mux
}

// completion is the body of a chat completion request.
type completion struct {
	Model     catalogue.VersionID `json:"model"`
	MaxTokens int                 `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// prompt joins the messages as lines of "role: content".
func (c *completion) prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var in completion
	if !readJSON(w, r, &in) {
		return
	}
	f := e.Faults.Get()
	id := r.Header.Get(requestIDHeader)
	if !slices.Contains(f.Versions, in.Model) {
		writeError(w, http.StatusBadRequest, "version "+string(in.Model)+" is not loaded")
		return
	}
	offset, resume := 0, r.Header.Get("X-Resume-Offset") != ""
	if resume {
		n, err := strconv.Atoi(r.Header.Get("X-Resume-Offset"))
		if err != nil || n < 0 {
			writeError(w, http.StatusBadRequest, "X-Resume-Offset is no offset")
			return
		}
		offset = n
	}
	j, status := e.admit(id, &in, &f, offset, resume)
	if j == nil {
		writeError(w, status, "the engine does not take the request")
		return
	}
	rc := e.attach(j, w)
	if sleep(r, f.LateMillis) != nil {
		e.detach(j, false)
		return
	}
	e.stream(w, r, rc, j, &f)
}

// admit returns the new job of a request, or nil and the status to reject it with. A new job replaces one with the same request
// ID.
func (e *Engine) admit(id string, in *completion, f *EngineFaults, offset int, resume bool) (*job, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := realClock.Now()
	e.enforceLimits(now)
	cold := f.inColdStart(now - e.coldStartAt)
	e.recordRequest(id, in.Model, cold, resume)
	if limit := f.maxInFlight(cold); limit > 0 && e.stats.InFlight >= limit {
		return nil, e.rejectOverload(f)
	}
	previous := e.jobs[id]
	if resume && (previous == nil || previous.version != in.Model || offset > previous.total) {
		return nil, http.StatusNotFound
	}
	j := newJob(id, in, f)
	if previous != nil {
		e.drop(previous)
	}
	if resume {
		j.generatedBefore = previous.generatedBefore
	}
	e.jobs[id] = j
	j.start(now, offset, f)
	e.markActive(j)
	return j, http.StatusOK
}

// attach connects the job with the response to its reader, so that dropping the job can unblock a write.
func (e *Engine) attach(j *job, w http.ResponseWriter) *http.ResponseController {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.rc = http.NewResponseController(w)
	return j.rc
}

// rejectOverload returns the status of a request over the bound, after it dropped all jobs if FallOver is set; e.mu is held.
func (e *Engine) rejectOverload(f *EngineFaults) int {
	if !f.FallOver {
		e.stats.Refused++
		return http.StatusServiceUnavailable
	}
	e.dropAll()
	return http.StatusInternalServerError
}

// dropAll drops all jobs, as an engine does that crashes under overload; e.mu is held.
func (e *Engine) dropAll() {
	e.stats.FellOver++
	for _, j := range e.jobs {
		e.drop(j)
	}
}
