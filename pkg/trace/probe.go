package trace

import (
	"context"
	"fmt"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// probePeriod is the interval at which an instance looks for idle cold upstreams, the same as in the daemon.
const probePeriod clock.Millis = 250

// probeColdUpstreams sends a one-token request to each idle upstream in cold start of whose capacity this instance has a share.
func (in *instance) probeColdUpstreams() {
	for _, u := range in.snapshot.Upstreams {
		idle := in.inFlight.InFlight(u.Name) == 0 && u.Load.InFlight < u.Rule.ColdLimit
		if !u.Cold || !idle || in.snapshot.PermitListed(u) != nil {
			continue
		}
		if in.inFlight.Acquire(u.Name, u.Share) {
			in.run.loop.spawn(context.Background(), in.run.loop.clock.Now(), func(ctx context.Context) { in.probeUpstream(ctx, u) })
		}
	}
}

func (in *instance) probeUpstream(ctx context.Context, u *catalogue.Upstream) {
	defer in.inFlight.Release(u.Name)
	in.run.probes++
	id := fmt.Sprint("probe-", in.run.probes)
	in.run.requests[id] = &Request{ID: id, OutputTokens: 1}
	defer delete(in.run.requests, id)
	c := &request.Call{
		Request:  &request.Request{ID: id, Messages: []request.Message{{Role: "user", Content: "ping"}}},
		Upstream: u,
		Writer:   &callRecorder{run: in.run},
	}
	x := request.Sample{RequestID: id, Upstream: u.Name}
	if len(u.Versions) > 0 {
		c.Version = in.snapshot.Config.Versions[u.Versions[0]]
		x.Version = u.Versions[0]
	}
	s := &sender{instance: in}
	_ = s.exchange(ctx, processOf(ctx), c, in.env.engineByName[u.Name], &x)
	x.At = in.run.loop.clock.Now()
	in.coldStarts.RecordSample(x)
}
