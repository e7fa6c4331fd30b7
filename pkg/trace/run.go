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

// Record is the outcome of one request in a replay; times are in milliseconds.
type Record struct {
	ID      string
	At      clock.Millis
	Profile string `json:",omitempty"`
	Service string `json:",omitempty"`
	// Outcome is Ran for a complete answer, else the outcome of the refusal.
	Outcome request.Outcome
	Reason  request.Reason      `json:",omitempty"`
	Version catalogue.VersionID `json:",omitempty"`
	// FirstToken and Total are the times from At to the first chunk and to the end.
	FirstToken clock.Millis
	Total      clock.Millis
	Score      float64
	Cost       catalogue.Micros
	Attempts   int
	// Late is true if the answer ended after the deadline.
	Late bool `json:",omitempty"`
}

// succeeded reports whether the caller got a complete answer before the deadline.
func (r *Record) succeeded() bool { return r.Outcome == request.Ran && !r.Late }

// attempt is one send of a request to an upstream.
type attempt struct {
	at      clock.Millis
	request string
	version catalogue.VersionID
	session string
}

// detection is the first detection of a version as degraded for a task.
type detection struct {
	at      clock.Millis
	suspect rating.Suspect
}

// run is the replay of a trace under one policy.
type run struct {
	trace        *Trace
	policy       *policy
	loop         *eventLoop
	env          *environment
	instances    []*instance
	requests     map[string]*Request
	promptFiller string
	records      []Record
	attempts     []attempt
	detections   []detection
	// probes counts the probes of cold upstreams, for their request ids.
	probes int
}

func newRun(t *Trace, p *policy, history bool) *run {
	r := &run{trace: t, policy: p, loop: newEventLoop(), requests: map[string]*Request{}}
	r.env = newEnvironment(t, r.loop)
	for _, m := range t.Members {
		r.instances = append(r.instances, newInstance(r, m))
	}
	for i, in := range r.instances {
		in.peers = append(in.peers, r.instances[:i]...)
		in.peers = append(in.peers, r.instances[i+1:]...)
		if history {
			in.ratings.Merge("history", t.priorCounters())
			in.coldStarts.MergeVerdicts(t.warmVerdicts())
		}
		in.start(clock.Millis(37*i), t.Duration)
	}
	maxInputTokens := 0
	for i := range t.Requests {
		q := &t.Requests[i]
		r.requests[q.ID] = q
		maxInputTokens = max(maxInputTokens, q.InputTokens)
		r.loop.schedule(q.At, func() { r.assignRequest(q) })
	}
	r.promptFiller = strings.Repeat("word ", maxInputTokens)
	return r
}

// replay runs the trace to its end and fails if a request never ended.
func (r *run) replay(ctx context.Context) error {
	r.loop.run()
	if len(r.records) != len(r.trace.Requests) {
		return errors.Newf("trace %s: only %d of %d requests ended", r.trace.Name, len(r.records), len(r.trace.Requests))
	}
	return ctx.Err()
}

// assignRequest starts the request at a pseudo-random instance among those that the load balancer considers up.
func (r *run) assignRequest(q *Request) {
	members := r.env.balancedMembers()
	m := members[int(r.trace.seededFraction("balancer", q.ID)*float64(len(members)))]
	for _, in := range r.instances {
		if in.common.Settings.Name == m.Name {
			r.loop.spawn(context.Background(), q.At, func(ctx context.Context) { r.serve(ctx, in, q) })
			return
		}
	}
}

func (r *run) serve(ctx context.Context, in *instance, q *Request) {
	c := r.newCall(in, q)
	w := &callRecorder{run: r}
	c.Writer = w
	err := in.chain.Handle(ctx, c)
	rec := Record{ID: q.ID, At: q.At, Profile: q.Profile, Service: q.Service, Attempts: c.Attempts, Cost: c.Cost()}
	rec.Total = r.loop.clock.Now() - q.At
	rec.FirstToken = w.firstChunkAt - q.At
	rec.Outcome = request.Ran
	rec.Late = rec.Total > q.Deadline
	var refusal *request.Refusal
	if errors.As(err, &refusal) {
		rec.Outcome, rec.Reason, rec.Late = refusal.Outcome, refusal.Reason, false
	}
	if c.Version != nil && err == nil {
		k := catalogue.HealthKey{Version: c.Version.ID, Task: c.Profile.Task}
		rec.Version, rec.Score = k.Version, r.env.trueScore(q, k)
	}
	r.records = append(r.records, rec)
}

func (r *run) newCall(in *instance, q *Request) *request.Call {
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
		{Role: "user", Content: r.promptFiller[:4*q.InputTokens]},
	}
	return c
}

func prefixOf(c *request.Call) uint64 {
	return request.HashKey(c.Request.Messages[0].Role, c.Request.Messages[0].Content)
}

// recordAttempt records a send to the upstream of the call.
func (r *run) recordAttempt(c *request.Call) {
	a := attempt{at: r.loop.clock.Now(), request: c.Request.ID, session: c.Request.Session}
	if c.Version != nil {
		a.version = c.Version.ID
	}
	r.attempts = append(r.attempts, a)
}

// billAnswer adds the cost of a complete answer to the call and schedules its delayed rating.
func (r *run) billAnswer(c *request.Call, q *Request) {
	in, out := float64(q.InputTokens), float64(q.OutputTokens)
	price := (in*float64(c.Version.InputCost) + out*float64(c.Version.OutputCost)) / 1e6
	c.Usage = append(c.Usage, request.Usage{
		Version:      c.Version.ID,
		Upstream:     c.Upstream.Name,
		InputTokens:  q.InputTokens,
		OutputTokens: q.OutputTokens,
		Cost:         catalogue.Micros(price + 0.5),
	})
	r.env.scheduleRating(q, catalogue.HealthKey{Version: c.Version.ID, Task: c.Profile.Task})
}

// recordDetection records the first detection of a version and task as degraded.
func (r *run) recordDetection(s rating.Suspect) {
	for _, d := range r.detections {
		if d.suspect.Version == s.Version && d.suspect.Task == s.Task {
			return
		}
	}
	r.detections = append(r.detections, detection{at: r.loop.clock.Now(), suspect: s})
}

// callRecorder is the response writer of a replayed call and records the time of the first chunk.
type callRecorder struct {
	run          *run
	firstChunkAt clock.Millis
}

// WriteHead discards the head.
func (w *callRecorder) WriteHead(context.Context, *request.Call, request.Head) error { return nil }

// WriteChunk records the time of the first chunk and discards the text.
func (w *callRecorder) WriteChunk(context.Context, *request.Call, request.Chunk) error {
	if w.firstChunkAt == 0 {
		w.firstChunkAt = w.run.loop.clock.Now()
	}
	return nil
}

// WriteBytes discards the body of a plain service's answer.
func (w *callRecorder) WriteBytes(context.Context, *request.Call, []byte) error { return nil }

// WriteEnd discards the end.
func (w *callRecorder) WriteEnd(context.Context, *request.Call, request.End) error { return nil }
