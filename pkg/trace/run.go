package trace

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/rating"
	"carawayknot.example/carawayknot/pkg/request"
)

// Record is what became of one request in a replay; times are in milliseconds.
type Record struct {
	ID      string
	At      clock.Millis
	Profile string `json:",omitempty"`
	Service string `json:",omitempty"`
	// Outcome is Ran for a whole answer, else the outcome of the refusal.
	Outcome    request.Outcome
	Reason     request.Reason      `json:",omitempty"`
	Version    catalogue.VersionID `json:",omitempty"`
	FirstToken clock.Millis
	Total      clock.Millis
	Score      float64
	Cost       catalogue.Micros
	Attempts   int
	// Late is true for an answer after the deadline.
	Late bool `json:",omitempty"`
}

// ok tells whether the caller got a whole answer in time.
func (r *Record) ok() bool { return r.Outcome == request.Ran && !r.Late }

// send is one attempt at an upstream.
type send struct {
	at      clock.Millis
	request string
	version catalogue.VersionID
	session string
}

// finding is a version that was found to be bad.
type finding struct {
	at      clock.Millis
	suspect rating.Suspect
}

// run is one replay of a trace under one policy.
type run struct {
	trace     *Trace
	policy    *policy
	loop      *loop
	world     *world
	instances []*instance
	requests  map[string]*Request
	filler    string
	records   []Record
	sends     []send
	findings  []finding
	// probes counts the probes of cold upstreams.
	probes int
}

func newRun(t *Trace, p *policy, history bool) *run {
	r := &run{trace: t, policy: p, loop: newLoop(), requests: map[string]*Request{}}
	r.world = newWorld(t, r.loop)
	for _, m := range t.Members {
		r.instances = append(r.instances, newInstance(r, m))
	}
	for i, in := range r.instances {
		in.peers = append(in.peers, r.instances[:i]...)
		in.peers = append(in.peers, r.instances[i+1:]...)
		if history {
			in.book.Merge("history", t.history())
			in.watch.TakeVerdicts(t.warm())
		}
		in.start(clock.Millis(37*i), t.Duration)
	}
	most := 0
	for i := range t.Requests {
		q := &t.Requests[i]
		r.requests[q.ID] = q
		most = max(most, q.InputTokens)
		r.loop.at(q.At, func() { r.arrive(q) })
	}
	r.filler = strings.Repeat("word ", most)
	return r
}

// replay runs the trace to its end.
func (r *run) replay(ctx context.Context) error {
	r.loop.run()
	if len(r.records) != len(r.trace.Requests) {
		return errors.Newf("trace %s: %d of %d requests ended", r.trace.Name, len(r.records), len(r.trace.Requests))
	}
	return ctx.Err()
}

// arrive gives the request to an instance that the balancer knows to be up.
func (r *run) arrive(q *Request) {
	up := r.world.members()
	m := up[int(r.trace.fraction("balancer", q.ID)*float64(len(up)))]
	for _, in := range r.instances {
		if in.common.Settings.Name == m.Name {
			r.loop.start(context.Background(), q.At, func(ctx context.Context) { r.serve(ctx, in, q) })
			return
		}
	}
}

func (r *run) serve(ctx context.Context, in *instance, q *Request) {
	c := r.call(in, q)
	w := &recorder{run: r}
	c.Writer = w
	err := in.line.Handle(ctx, c)
	rec := Record{ID: q.ID, At: q.At, Profile: q.Profile, Service: q.Service, Attempts: c.Attempts, Cost: c.Cost()}
	rec.Total = r.loop.clock.Now() - q.At
	rec.FirstToken = w.first - q.At
	rec.Outcome = request.Ran
	rec.Late = rec.Total > q.Deadline
	var refusal *request.Refusal
	if errors.As(err, &refusal) {
		rec.Outcome, rec.Reason, rec.Late = refusal.Outcome, refusal.Reason, false
	}
	if c.Version != nil && err == nil {
		k := catalogue.HealthKey{Version: c.Version.ID, Task: c.Profile.Task}
		rec.Version, rec.Score = k.Version, r.world.score(q, k)
	}
	r.records = append(r.records, rec)
}

func (r *run) call(in *instance, q *Request) *request.Call {
	cfg := in.snapshot.Config
	c := &request.Call{
		Workspace: cfg.Workspaces[q.Workspace],
		Request: &request.Request{
			ID:         q.ID,
			Workspace:  q.Workspace,
			Profile:    q.Profile,
			Session:    q.Session,
			Service:    q.Service,
			Repeatable: !q.Once,
			ArrivedAt:  q.At,
			Deadline:   q.At + q.Deadline,
			Stream:     true,
			MaxTokens:  q.OutputTokens,
		},
	}
	if q.Service != "" {
		c.Service = cfg.Services[q.Service]
		return c
	}
	c.Profile = cfg.Profiles[q.Profile]
	c.Request.Messages = []request.Message{
		{Role: "system", Content: q.Prompt},
		{Role: "user", Content: r.filler[:4*q.InputTokens]},
	}
	return c
}

func prefixOf(c *request.Call) uint64 {
	return request.HashKey(c.Request.Messages[0].Role, c.Request.Messages[0].Content)
}

// attempted notes a send to an upstream.
func (r *run) attempted(c *request.Call) {
	s := send{at: r.loop.clock.Now(), request: c.Request.ID, session: c.Request.Session}
	if c.Version != nil {
		s.version = c.Version.ID
	}
	r.sends = append(r.sends, s)
}

// answered bills a complete answer of an upstream and lets it be rated.
func (r *run) answered(c *request.Call, q *Request) {
	in, out := float64(q.InputTokens), float64(q.OutputTokens)
	price := (in*float64(c.Version.InputCost) + out*float64(c.Version.OutputCost)) / 1e6
	c.Usage = append(c.Usage, request.Usage{
		Version:      c.Version.ID,
		Upstream:     c.Upstream.Name,
		InputTokens:  q.InputTokens,
		OutputTokens: q.OutputTokens,
		Cost:         catalogue.Micros(price + 0.5),
	})
	r.world.rate(q, catalogue.HealthKey{Version: c.Version.ID, Task: c.Profile.Task})
}

// suspected notes a version when it is found to be bad for the first time.
func (r *run) suspected(s rating.Suspect) {
	for _, f := range r.findings {
		if f.suspect.Version == s.Version && f.suspect.Task == s.Task {
			return
		}
	}
	r.findings = append(r.findings, finding{at: r.loop.clock.Now(), suspect: s})
}

// recorder is the writer of a replayed call.
type recorder struct {
	run   *run
	first clock.Millis
}

// WriteHead does nothing.
func (w *recorder) WriteHead(context.Context, *request.Call, request.Head) error { return nil }

// WriteChunk notes the time of the first chunk.
func (w *recorder) WriteChunk(context.Context, *request.Call, request.Chunk) error {
	if w.first == 0 {
		w.first = w.run.loop.clock.Now()
	}
	return nil
}

// WriteBytes does nothing.
func (w *recorder) WriteBytes(context.Context, *request.Call, []byte) error { return nil }

// WriteEnd does nothing.
func (w *recorder) WriteEnd(context.Context, *request.Call, request.End) error { return nil }
