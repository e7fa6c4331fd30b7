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

// rule returns a change that states whether a refusal of the service proves that nothing ran.
func rule(refusalIsNotRun bool) *catalogue.Change {
	return proctest.Put(catalogue.KindUpstream, service, &catalogue.UpstreamRule{
		Name: service, ColdLimit: 2, WarmLimit: 32, RefusalIsNotRun: refusalIsNotRun,
	})
}

func TestP08OutcomeIsTrueWhereverTheConnectionBreaks(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name   string
		faults map[string]any
		// contract tells whether the configuration says that a refusal of the service is NotRun.
		contract bool
		// want is the outcome of the first send, "" where more than one would be true.
		want request.Outcome
		runs int
	}{
		{name: "none", contract: true, want: request.Ran, runs: 1},
		{name: "before the request is read", faults: map[string]any{"Break": standin.PlaceBeforeRead, "Breaks": 1}, contract: true, want: request.MayHaveRun},
		{name: "after the header", faults: map[string]any{"Break": standin.PlaceAfterHeader, "Breaks": 1}, contract: true, want: request.MayHaveRun},
		{name: "after the body", faults: map[string]any{"Break": standin.PlaceAfterBody, "Breaks": 1}, contract: true, want: request.MayHaveRun},
		{name: "after the run", faults: map[string]any{"Break": standin.PlaceAfterRun, "Breaks": 1}, contract: true, want: request.MayHaveRun, runs: 1},
		{name: "in the answer", faults: map[string]any{"Break": standin.PlaceInAnswer, "Breaks": 1}, contract: true, runs: 1},
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
				s.Upstreams[service].SetFaults(clean)
				receipt := s.Daemons[0].MustApply(t, rule(c.contract))
				d.AwaitRevision(receipt.Revision)
				d.AwaitUpstreams(len(s.Upstreams))
				// Warm connections are those on which a client is tempted to send again.
				for k := range 2 {
					wantRan(t, ask(t.Context(), t, s, d, proctest.Booking{Key: proctest.NewKey(fmt.Sprintf("warm-%d-%d-%d", i, j, k))}))
				}
				s.Upstreams[service].SetFaults(c.faults)
				key := proctest.NewKey(fmt.Sprintf("break-%d-%d", i, j))
				r := ask(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4", Deadline: 5000})
				if c.want != "" && r.Outcome() != c.want {
					t.Errorf("outcome %s, want %s: status %d, %+v", r.Outcome(), c.want, r.Status, r.Error)
				}
				if n := s.Upstreams[service].Runs().ByKey[key]; n != c.runs {
					t.Errorf("%d runs, want %d", n, c.runs)
				}
				s.Upstreams[service].SetFaults(clean)
				again := ask(t.Context(), t, s, d, proctest.Booking{Key: key, Body: "table 4", Deadline: 5000})
				if c.want == request.NotRun && again.Outcome() != request.Ran {
					t.Errorf("asked again after NotRun: outcome %s, want Ran: %+v", again.Outcome(), again.Error)
				}
				if c.want == request.MayHaveRun && s.Upstreams[service].Runs().ByKey[key] != c.runs {
					t.Errorf("asked again after MayHaveRun: it was sent again")
				}
			})
		}
	}
}

func TestP08ServiceGone(t *testing.T) {
	t.Parallel()
	s := proctest.NewSystem(t, proctest.Options{Instances: 2})
	s.Upstreams[service].Kill()
	for i, d := range s.Daemons {
		r := d.Book(t.Context(), proctest.Booking{Key: proctest.NewKey(fmt.Sprintf("gone-%d", i)), Deadline: 5000})
		if r.Outcome() != request.NotRun {
			t.Errorf("outcome %s, want NotRun where nothing listens: %+v", r.Outcome(), r.Error)
		}
	}
}
