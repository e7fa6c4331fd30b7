package delivery

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

// tokensPerPrice is the number of tokens to which the prices of a version apply.
const tokensPerPrice = 1_000_000

// report records the usage and the sample of the attempt and cancels the engine's work on a response that nobody reads.
func (a *attempt) report(err error) {
	if a.wrote && a.offset > 0 {
		a.recordUsage(request.End{OutputTokens: a.offset})
	}
	if err != nil && a.wrote && a.end == nil && a.call.Request.Repeatable && a.call.Version != nil {
		a.cancelInBackground(a.call.Upstream.Address, a.id)
	}
	if err != nil {
		a.log().V(1).Info("attempt failed", "request", a.id, "upstream", a.call.Upstream.Name,
			"outcome", a.outcome(err), "error", err.Error())
	}
	if a.Observe != nil {
		a.Observe(a.sample(err))
	}
}

func (a *attempt) sample(err error) request.Sample {
	now := a.Clock.Now()
	s := request.Sample{
		At:         now,
		RequestID:  a.id,
		Workspace:  a.call.Request.Workspace,
		Upstream:   a.call.Upstream.Name,
		Result:     a.result(err),
		FirstToken: a.firstToken,
		Total:      now - a.startedAt,
		Tokens:     a.offset,
	}
	if a.call.Version != nil {
		s.Version = a.call.Version.ID
	}
	if a.call.Profile != nil {
		s.Task = a.call.Profile.Task
	}
	return s
}

// recordUsage adds the tokens and cost of the attempt to the call, once.
func (a *attempt) recordUsage(end request.End) {
	if a.usageRecorded || a.call.Version == nil {
		return
	}
	a.usageRecorded = true
	a.call.Usage = append(a.call.Usage, request.Usage{
		Version:      a.call.Version.ID,
		Upstream:     a.call.Upstream.Name,
		InputTokens:  end.InputTokens,
		OutputTokens: end.OutputTokens,
		Cost:         cost(a.call.Version, end.InputTokens, end.OutputTokens),
	})
}

// cost returns the price of the tokens, rounded up to the next millionth.
func cost(v *catalogue.Version, input, output int) catalogue.Micros {
	sum := v.InputCost*catalogue.Micros(input) + v.OutputCost*catalogue.Micros(output)
	return (sum + tokensPerPrice - 1) / tokensPerPrice
}
