package entry

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

// With 330 instances and 90 upstreams, the rate limit lets one round read only a part of the upstreams. Each round must continue
// where the last one stopped, or some upstreams are never read.
func TestLoadReaderReachesEachUpstream(t *testing.T) {
	const members, upstreams, rounds = 330, 90, 9
	synctest.Test(t, func(t *testing.T) {
		cfg := settings.Default()
		common := settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: clock.NewReal()}
		s := &catalogue.Snapshot{Config: catalogue.NewState(), Members: make([]catalogue.Member, members)}
		for n := range upstreams {
			name := fmt.Sprintf("engine-%02d", n)
			s.Upstreams = append(s.Upstreams, &catalogue.Upstream{Name: name, Address: name, Share: 1})
		}
		var mu sync.Mutex
		read := map[string]bool{}
		l := &LoadReader{
			Common:   common,
			Snapshot: func() *catalogue.Snapshot { return s },
			Loads:    &fakeLoads{reads: map[string]int{}},
			Report: func(r *loadRead) {
				mu.Lock()
				defer mu.Unlock()
				read[r.Name] = true
			},
		}
		for range rounds {
			ctx, cancel := clock.WithTimeout(t.Context(), common.Clock, callTimeout+cfg.Times.LogWait)
			if err := l.Round(ctx); err != nil {
				t.Fatal(err)
			}
			cancel()
			synctest.Wait()
		}
		if diff := cmp.Diff(upstreams, len(read)); diff != "" {
			t.Errorf("number of upstreams read in %d rounds (-want +got):\n%s", rounds, diff)
		}
	})
}
