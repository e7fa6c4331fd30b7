package entry

import (
	"context"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

// fakeLoads returns load reports at once, except for one address, whose reads block until their context ends.
type fakeLoads struct {
	silent string

	mu    sync.Mutex
	reads map[string]int
}

// Load returns a report with room for 8 requests, or blocks for the silent address.
func (l *fakeLoads) Load(ctx context.Context, address string) (backoffice.LoadReport, error) {
	l.mu.Lock()
	l.reads[address]++
	l.mu.Unlock()
	if address == l.silent {
		<-ctx.Done()
		return backoffice.LoadReport{}, context.Cause(ctx)
	}
	return backoffice.LoadReport{Bearable: 8}, ctx.Err()
}

// A cold upstream that accepts connections but never answers must not delay the probes of the others, which would stay cold.
func TestP05SilentUpstreamDoesNotBlockOtherProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := settings.Default()
		common := settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: clock.NewReal()}
		loads := &fakeLoads{silent: "a", reads: map[string]int{}}
		var mu sync.Mutex
		complete := map[string]int{}
		p := &Prober{
			Common: common,
			Snapshot: func() *catalogue.Snapshot {
				s := &catalogue.Snapshot{At: common.Clock.Now(), SharesAt: common.Clock.Now(), Config: catalogue.NewState()}
				for _, name := range []string{"a", "b", "c"} {
					s.Upstreams = append(s.Upstreams, &catalogue.Upstream{
						Name: name, Address: name, Role: catalogue.RoleService, Service: "desk", Cold: true, Share: 1,
					})
				}
				return s
			},
			InFlight: &dispatch.InFlightLimiter{},
			Loads:    loads,
			Observe: func(s request.Sample) {
				mu.Lock()
				defer mu.Unlock()
				if s.Result == request.ResultComplete {
					complete[s.Upstream]++
				}
			},
		}
		const rounds = 4
		for range rounds {
			ctx, cancel := clock.WithTimeout(t.Context(), common.Clock, callTimeout)
			if err := p.Round(ctx); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			cancel()
		}
		mu.Lock()
		got := maps.Clone(complete)
		mu.Unlock()
		if diff := cmp.Diff(map[string]int{"b": rounds, "c": rounds}, got); diff != "" {
			t.Errorf("probes answered by upstream in %d rounds (-want +got):\n%s", rounds, diff)
		}
		if diff := cmp.Diff(1, loads.reads["a"]); diff != "" {
			t.Errorf("concurrent probes at the silent upstream (-want +got):\n%s", diff)
		}
		time.Sleep(cfg.Times.ColdHold.Duration())
		synctest.Wait()
		if diff := cmp.Diff(map[string]int{}, p.InFlight.Counts()); diff != "" {
			t.Errorf("probes still in flight by upstream (-want +got):\n%s", diff)
		}
	})
}
