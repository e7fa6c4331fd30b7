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

// silentLoads answers all load reports at once, but for those of one address, which it never answers.
type silentLoads struct {
	silent string

	mu    sync.Mutex
	asked map[string]int
}

// Load reads a load report.
func (l *silentLoads) Load(ctx context.Context, address string) (backoffice.LoadReport, error) {
	l.mu.Lock()
	l.asked[address]++
	l.mu.Unlock()
	if address == l.silent {
		<-ctx.Done()
		return backoffice.LoadReport{}, context.Cause(ctx)
	}
	return backoffice.LoadReport{Bearable: 8}, ctx.Err()
}

// A cold upstream that takes connections and never answers must not keep the others cold.
func TestP05SilentUpstreamHoldsUpNoProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := settings.Default()
		common := settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: clock.NewReal()}
		loads := &silentLoads{silent: "a", asked: map[string]int{}}
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
			Flights: &dispatch.Flights{},
			Loads:   loads,
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
			ctx, cancel := clock.WithTimeout(t.Context(), common.Clock, callTime)
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
			t.Errorf("probes answered in %d rounds (-want +got):\n%s", rounds, diff)
		}
		if diff := cmp.Diff(1, loads.asked["a"]); diff != "" {
			t.Errorf("probes at the silent upstream at once (-want +got):\n%s", diff)
		}
		time.Sleep(cfg.Times.ColdHold.Duration())
		synctest.Wait()
		if diff := cmp.Diff(map[string]int{}, p.Flights.Counts()); diff != "" {
			t.Errorf("probes left at upstreams (-want +got):\n%s", diff)
		}
	})
}
