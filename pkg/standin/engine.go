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

// EngineFaults are the properties and switches of an engine.
type EngineFaults struct {
	Faults
	Versions []catalogue.VersionID
	// Bearable is how many requests the engine holds at once; 0 is no bound.
	Bearable int
	// ColdBearable bounds them during cold start, which lasts ColdMillis.
	ColdBearable int
	ColdMillis   clock.Millis
	// HideCold keeps the cold start out of the load reports.
	HideCold bool
	// FallOver drops all requests held in place of refusing the one that is too much.
	FallOver bool
	// FirstTokenMillis is the time to the first token, TokenMillis the time between tokens.
	FirstTokenMillis clock.Millis
	TokenMillis      clock.Millis
	// Tokens is the length of an answer.
	Tokens int
	// Bad are the versions that answer badly.
	Bad []catalogue.VersionID
	// CutAfter closes the connection after that many tokens; 0 is never.
	CutAfter int
	// SkipDone leaves out the end of the answer and closes the connection cleanly.
	SkipDone bool
	// Crossed answers with the id and the tokens of another request.
	Crossed bool
	// Repeat sends each event twice.
	Repeat bool
	// LateMillis holds back the answer as a whole.
	LateMillis clock.Millis
	// IgnoreFence obeys orders with old fencing numbers.
	IgnoreFence bool
	// HoldBytes bounds the bytes of answers held for readers, above which the engine falls over; 0 is no bound.
	HoldBytes int64
	// LagMillis is the age of load reports.
	LagMillis clock.Millis
}

// cold tells whether the engine is in cold start at a span after the start or the last order to load.
func (f *EngineFaults) cold(since clock.Millis) bool { return since < f.ColdMillis }

// limit returns how many requests the engine bears, 0 for no bound.
func (f *EngineFaults) limit(cold bool) int {
	if cold && f.ColdBearable > 0 {
		return f.ColdBearable
	}
	return f.Bearable
}

// Engine is a stand-in for a model engine.
type Engine struct {
	Switches Switches[EngineFaults, *EngineFaults]
	// OnAnswer is optional; it is told of each complete answer.
	OnAnswer func(fake.Answer)

	mu        sync.Mutex
	coldSince clock.Millis
	jobs      map[string]*job
	stats     EngineStats
	starts    []Start
	orders    fake.OrderLog
	events    []backoffice.CacheEvent
	report    backoffice.LoadReport
	reportAt  clock.Millis
}

// NewEngine returns an engine that begins with a cold start.
func NewEngine(f EngineFaults) *Engine {
	e := &Engine{jobs: map[string]*job{}, coldSince: realClock.Now()}
	e.stats.ByVersion = map[catalogue.VersionID]*VersionStats{}
	e.Switches.Update(func(now *EngineFaults) { *now = f })
	return e
}

// Handler returns the protocol of an engine, and the control paths /faults, GET /stats, GET /requests, GET /orders and
// POST /cold, which begins a cold start.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/faults", &e.Switches)
	mux.HandleFunc("GET /stats", e.getStats)
	mux.HandleFunc("GET /requests", e.getRequests)
	mux.HandleFunc("GET /orders", e.getOrders)
	mux.HandleFunc("POST /cold", e.becomeCold)
	mux.Handle("POST /v1/chat/completions", e.Switches.Wrap(http.HandlerFunc(e.complete)))
	mux.Handle("DELETE /v1/requests/{id}", e.Switches.Wrap(http.HandlerFunc(e.cancel)))
	mux.Handle("GET /load", e.Switches.Wrap(http.HandlerFunc(e.load)))
	mux.Handle("GET /cache/events", e.Switches.Wrap(http.HandlerFunc(e.cacheEvents)))
	mux.Handle("POST /orders", e.Switches.Wrap(http.HandlerFunc(e.order)))
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
	f := e.Switches.Get()
	id := r.Header.Get(requestIDHeader)
	if !slices.Contains(f.Versions, in.Model) {
		refuse(w, http.StatusBadRequest, "version "+string(in.Model)+" is not loaded")
		return
	}
	offset, resume := 0, r.Header.Get("X-Resume-Offset") != ""
	if resume {
		n, err := strconv.Atoi(r.Header.Get("X-Resume-Offset"))
		if err != nil || n < 0 {
			refuse(w, http.StatusBadRequest, "X-Resume-Offset is no offset")
			return
		}
		offset = n
	}
	j, status := e.admit(id, &in, &f, offset, resume)
	if j == nil {
		refuse(w, status, "the engine does not take the request")
		return
	}
	control := e.attach(j, w)
	if wait(r, f.LateMillis) != nil {
		e.release(j, false)
		return
	}
	e.send(w, r, control, j, &f)
}

// admit returns the job of a request, or the status of its refusal.
func (e *Engine) admit(id string, in *completion, f *EngineFaults, offset int, resume bool) (*job, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := realClock.Now()
	e.sweep(now)
	cold := f.cold(now - e.coldSince)
	e.count(id, in.Model, cold, resume)
	if limit := f.limit(cold); limit > 0 && e.stats.InFlight >= limit {
		return nil, e.tooMuch(f)
	}
	held := e.jobs[id]
	if resume && (held == nil || held.version != in.Model || offset > held.total) {
		return nil, http.StatusNotFound
	}
	j := newJob(id, in, f)
	if held != nil {
		e.drop(held)
	}
	if resume {
		j.base = held.base
	}
	e.jobs[id] = j
	j.start(now, offset, f)
	e.begin(j)
	return j, http.StatusOK
}

// attach gives the job the response of its reader, so that dropping the job frees a blocked write.
func (e *Engine) attach(j *job, w http.ResponseWriter) *http.ResponseController {
	e.mu.Lock()
	defer e.mu.Unlock()
	j.control = http.NewResponseController(w)
	return j.control
}

// tooMuch returns the status for a request above what the engine bears; e.mu is held.
func (e *Engine) tooMuch(f *EngineFaults) int {
	if !f.FallOver {
		e.stats.Refused++
		return http.StatusServiceUnavailable
	}
	e.fallOver()
	return http.StatusInternalServerError
}

// fallOver drops all requests; e.mu is held.
func (e *Engine) fallOver() {
	e.stats.FellOver++
	for _, j := range e.jobs {
		e.drop(j)
	}
}
