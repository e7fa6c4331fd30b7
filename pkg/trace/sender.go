package trace

import (
	"context"
	"net/http"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// hop is the time from an instance to an upstream, in milliseconds.
	hop clock.Millis = 1
	// connectTime is how long a connection to a dead upstream is tried, in milliseconds.
	connectTime clock.Millis = 200
	// serviceTime is how long a plain service takes, in milliseconds.
	serviceTime = 40.0
)

// sender is the last filter of a replay: it stands in for the sending to an upstream.
type sender struct {
	instance *instance
}

// Filter sends the call to the fake of its upstream.
func (s *sender) Filter(ctx context.Context, c *request.Call, _ request.Handler) error {
	in, p := s.instance, processOf(ctx)
	if err := s.permit(c); err != nil {
		return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonForbidden, Cause: err}
	}
	e := in.world.byName[c.Upstream.Name]
	c.Attempts++
	in.run.attempted(c)
	sample := request.Sample{
		RequestID: c.Request.ID,
		Workspace: c.Request.Workspace,
		Upstream:  c.Upstream.Name,
	}
	if c.Version != nil {
		sample.Version, sample.Task = c.Version.ID, c.Profile.Task
	}
	start := in.run.loop.clock.Now()
	err := s.exchange(ctx, p, c, e, &sample)
	sample.At = in.run.loop.clock.Now()
	sample.Total = sample.At - start
	in.watch.TakeSample(sample)
	in.book.TakeSample(sample)
	return err
}

// permit checks the newest snapshot as the last thing before the send.
func (s *sender) permit(c *request.Call) error {
	snap := s.instance.snapshot
	if err := snap.PermitUpstream(c.Upstream.Name); err != nil {
		return err
	}
	if c.Version == nil {
		return nil
	}
	return snap.PermitVersion(c.Request.Workspace, c.Version.ID)
}

func (s *sender) exchange(ctx context.Context, p *process, c *request.Call, e *engine, x *request.Sample) error {
	p.sleep(hop)
	if e.down() {
		p.sleep(connectTime)
		x.Result = request.ResultFailed
		return request.Refuse(request.ReasonUpstreamFailed, clock.Second, "no connection")
	}
	if c.Version != nil && !hasVersion(e, c.Version.ID) || !e.begin() {
		x.Result = request.ResultRefused
		return request.Refuse(request.ReasonUpstreamRefused, clock.Second, "refused")
	}
	incarnation := e.incarnation
	defer e.finish(incarnation)
	first, rest := s.times(c, e)
	p.sleep(first)
	if e.incarnation != incarnation {
		x.Result = request.ResultCut
		return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonAnswerIncomplete}
	}
	x.FirstToken = first + hop
	if err := s.writeHead(ctx, c); err != nil {
		return err
	}
	p.sleep(rest)
	if e.incarnation != incarnation {
		x.Result = request.ResultCut
		return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonAnswerIncomplete}
	}
	p.sleep(hop)
	x.Result = request.ResultComplete
	return s.writeEnd(ctx, c, x)
}

func hasVersion(e *engine, id catalogue.VersionID) bool {
	for _, v := range e.versions {
		if v == id {
			return true
		}
	}
	return false
}

func (s *sender) times(c *request.Call, e *engine) (first, rest clock.Millis) {
	if c.Version == nil {
		f, _ := e.times(Speed{FirstToken: serviceTime}, 0)
		return clock.Millis(f), 0
	}
	f, each := e.times(s.instance.world.speeds[c.Version.ID], prefixOf(c))
	tokens := s.instance.run.requests[c.Request.ID].OutputTokens
	return clock.Millis(f), clock.Millis(each * float64(tokens))
}

func (s *sender) writeHead(ctx context.Context, c *request.Call) error {
	if err := c.Writer.WriteHead(ctx, c, request.Head{Status: http.StatusOK, Header: http.Header{}}); err != nil {
		return err
	}
	return c.Writer.WriteChunk(ctx, c, request.Chunk{Text: "answer", Tokens: 1})
}

func (s *sender) writeEnd(ctx context.Context, c *request.Call, x *request.Sample) error {
	r := s.instance.run.requests[c.Request.ID]
	end := request.End{FinishReason: "stop", InputTokens: r.InputTokens, OutputTokens: r.OutputTokens}
	if c.Profile != nil {
		x.Tokens = r.OutputTokens
		s.instance.run.answered(c, r)
	}
	return c.Writer.WriteEnd(ctx, c, end)
}
