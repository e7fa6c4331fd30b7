package trace

import (
	"context"
	"net/http"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// networkLatency is the one-way latency between an instance and an upstream.
	networkLatency clock.Millis = 1
	// connectTimeout is the time after which a connection attempt to a stopped upstream fails.
	connectTimeout clock.Millis = 200
	// serviceTimeMillis is the service time of a plain service on an idle, warm replica.
	serviceTimeMillis = 40.0
)

// sender is the last filter of the chain; it simulates the exchange with an upstream.
type sender struct {
	instance *instance
}

// Filter performs one attempt of the call at its simulated upstream and reports the sample to the instance.
func (s *sender) Filter(ctx context.Context, c *request.Call, _ request.Handler) error {
	in, p := s.instance, processOf(ctx)
	if err := s.permit(c); err != nil {
		return &request.Refusal{Outcome: request.NotRun, Reason: request.ReasonForbidden, Cause: err}
	}
	e := in.env.engineByName[c.Upstream.Name]
	c.Attempts++
	in.run.recordAttempt(c)
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
	in.coldStarts.RecordSample(sample)
	in.ratings.RecordSample(sample)
	return err
}

// permit checks the upstream and the version against the newest snapshot right before the send.
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
	p.sleep(networkLatency)
	if e.down() {
		p.sleep(connectTimeout)
		x.Result = request.ResultFailed
		return request.Refuse(request.ReasonUpstreamFailed, clock.Second, "connection to the upstream timed out")
	}
	if c.Version != nil && !hasVersion(e, c.Version.ID) || !e.admit() {
		x.Result = request.ResultRefused
		return request.Refuse(request.ReasonUpstreamRefused, clock.Second, "upstream refused the request")
	}
	incarnation := e.incarnation
	defer e.finish(incarnation)
	first, rest := s.answerTimes(c, e)
	p.sleep(first)
	if e.incarnation != incarnation {
		x.Result = request.ResultCut
		return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonAnswerIncomplete}
	}
	x.FirstToken = first + networkLatency
	if err := s.writeHead(ctx, c); err != nil {
		return err
	}
	p.sleep(rest)
	if e.incarnation != incarnation {
		x.Result = request.ResultCut
		return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonAnswerIncomplete}
	}
	p.sleep(networkLatency)
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

func (s *sender) answerTimes(c *request.Call, e *engine) (first, rest clock.Millis) {
	if c.Version == nil {
		f, _ := e.sampleLatency(Speed{FirstToken: serviceTimeMillis}, 0)
		return clock.Millis(f), 0
	}
	f, perToken := e.sampleLatency(s.instance.env.speeds[c.Version.ID], prefixOf(c))
	tokens := s.instance.run.requests[c.Request.ID].OutputTokens
	return clock.Millis(f), clock.Millis(perToken * float64(tokens))
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
		s.instance.run.billAnswer(c, r)
	}
	return c.Writer.WriteEnd(ctx, c, end)
}
