//go:build process

package test

import (
	"fmt"
	"testing"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/proctest"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/standin"
)

// serviceRuleChange returns a change that sets whether a refusal by the service means that the request was not executed.
func serviceRuleChange(refusalIsNotRun bool) *catalogue.Change {
	return proctest.Put(catalogue.KindUpstream, serviceReplica, &catalogue.UpstreamRule{
		Name: serviceReplica, ColdLimit: 2, WarmLimit: 32, RefusalIsNotRun: refusalIsNotRun,
	})
}

func TestP08OutcomeIsCorrectWhereverTheConnectionBreaks(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		faults map[string]any
		// contract is the RefusalIsNotRun setting of the service.
		contract bool
		// want is the outcome of the first attempt, or "" when more than one outcome is correct.
		want request.Outcome
		runs int
	}{
		{name: "no fault", contract: true, want: request.Ran, runs: 1},
		{name: "before the request is read", faults: map[string]any{"Break": standin.BreakBeforeRead, "Breaks": 1}, contract: true, want: request.MayHaveRun},
		{name: "after the header", faults: map[string]any{"Break": standin.BreakAfterHeader, "Breaks": 1}, contract: true, want: request.MayHaveRun},
		{name: "after the body", faults: map[string]any{"Break": standin.BreakAfterBody, "Breaks": 1}, contract: true, want: request.MayHaveRun},
		{name: "after the run", faults: map[string]any{"Break": standin.BreakAfterRun, "Breaks": 1}, contract: true, want: request.MayHaveRun, runs: 1},
		{name: "in the answer", faults: map[string]any{"Break": standin.BreakInAnswer, "Breaks": 1}, contract: true, runs: 1},
		{name: "refused by contract", faults: map[string]any{"Status": 503}, contract: true, want: request.NotRun},
		{name: "refused without contract", faults: map[string]any{"Status": 503}, want: request.MayHaveRun},
		{name: "run and refused without contract", faults: map[string]any{"Status": 503, "RunRefused": true}, want: request.MayHaveRun, runs: 1},
		{name: "over the rate by contract", faults: map[string]any{"Status": 429}, contract: true, want: request.NotRun},
		{name: "answer of another request", faults: map[string]any{"WrongID": true}, contract: true, runs: 1},
	}
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	clean := map[string]any{"Break": "", "Breaks": 0, "Status": 0, "RunRefused": false, "WrongID": false}
	for i, c := range cases {
		for j, d := range s.Daemons {
			t.Run(fmt.Sprintf("%s/%s", c.name, d.Settings.Name), func(t *testing.T) {
				s.Upstreams[serviceReplica].SetFaults(clean)
				receipt := s.Daemons[0].MustApply(t, serviceRuleChange(c.contract))
				d.AwaitRevision(receipt.Revision)
				d.AwaitUpstreams(len(s.Upstreams))
				// Open reusable connections first: an HTTP client may resend a request when a reused connection breaks.
				for k := range 2 {
					requireSuccess(t, bookChecked(t.Context(), t, s, d, proctest.Booking{Key: proctest.NewKey(fmt.Sprintf("warm-%d-%d-%d", i, j, k))}))
				}
				s.Upstreams[serviceReplica].SetFaults(c.faults)
				key := proctest.NewKey(fmt.Sprintf("break-%d-%d", i, j))
				r := bookChecked(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4", Deadline: 5000})
				if c.want != "" && r.Outcome() != c.want {
					t.Errorf("got outcome %s, want %s: status %d, %+v", r.Outcome(), c.want, r.Status, r.Error)
				}
				if n := s.Upstreams[serviceReplica].Runs().ByKey[key]; n != c.runs {
					t.Errorf("got %d executions, want %d", n, c.runs)
				}
				s.Upstreams[serviceReplica].SetFaults(clean)
				again := bookChecked(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4", Deadline: 5000})
				if c.want == request.NotRun && again.Outcome() != request.Ran {
					t.Errorf("retry after NotRun: got outcome %s, want Ran: %+v", again.Outcome(), again.Error)
				}
				if c.want == request.MayHaveRun && s.Upstreams[serviceReplica].Runs().ByKey[key] != c.runs {
					t.Errorf("retry after MayHaveRun was sent to the service again")
				}
			})
		}
	}
}

func TestP08ServiceDown(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	s.Upstreams[serviceReplica].Kill()
	for i, d := range s.Daemons {
		r := d.Book(t.Context(), proctest.Booking{Key: proctest.NewKey(fmt.Sprintf("gone-%d", i)), Deadline: 5000})
		if r.Outcome() != request.NotRun {
			t.Errorf("got outcome %s from a service that does not listen, want NotRun: %+v", r.Outcome(), r.Error)
		}
	}
}
