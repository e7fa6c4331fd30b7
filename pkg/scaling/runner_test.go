package scaling

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/duty"
	"carawayknot.example/carawayknot/pkg/request"
)

// fakePlatform records orders and answers them with err.
type fakePlatform struct {
	mu     sync.Mutex
	orders []duty.ScaleOrder
	err    error
}

func (f *fakePlatform) Scale(_ context.Context, _ duty.Lease, o duty.ScaleOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, o)
	return f.err
}

// fakeLease is held or not; one that lapses is held only when it is first asked for.
type fakeLease struct {
	held, lapses bool
	mu           sync.Mutex
}

func (f *fakeLease) Held(clock.Millis) (duty.Lease, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.held
	f.held = f.held && !f.lapses
	return duty.Lease{Token: 7}, held
}

func TestRunner(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		held bool
		// lapses ends the lease between the decision and the send.
		lapses bool
		err    error
		limit  *catalogue.ScaleLimits
		// want has the orders of a step, and again those of a step three seconds later.
		want, wantLater []duty.ScaleOrder
	}{
		{name: "holder", held: true, limit: testPool.Scaling, want: []duty.ScaleOrder{{Service: "lm", Zone: "a", Count: 9}, {Service: "lm", Zone: "b", Count: 9}}},
		{name: "not the holder", limit: testPool.Scaling},
		{name: "the lease ends before the send", held: true, lapses: true, limit: testPool.Scaling},
		{name: "a service without limits", held: true},
		{
			name: "throttled", held: true, limit: testPool.Scaling, err: errors.Wrap(&duty.ThrottledError{}, "scale"),
			want:      []duty.ScaleOrder{{Service: "lm", Zone: "a", Count: 9}, {Service: "lm", Zone: "b", Count: 9}},
			wantLater: []duty.ScaleOrder{{Service: "lm", Zone: "a", Count: 9}, {Service: "lm", Zone: "b", Count: 9}},
		},
		{
			name: "no answer", held: true, limit: testPool.Scaling, err: errors.New("no answer"),
			want: []duty.ScaleOrder{{Service: "lm", Zone: "a", Count: 9}, {Service: "lm", Zone: "b", Count: 9}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			manual, platform := clock.NewManual(5000), &fakePlatform{err: c.err}
			pool := &catalogue.Pool{Name: "lm", Slots: 10, Scaling: c.limit}
			snapshot := &catalogue.Snapshot{
				Members: []catalogue.Member{{Name: "one"}}, Routes: &catalogue.RouteTable{Pools: map[string]*catalogue.Pool{"lm": pool}},
				Pools: map[string][]*catalogue.Upstream{"lm": {{Name: "i-1", Service: "lm", Zone: "a"}, {Name: "i-2", Service: "lm", Zone: "b"}}},
			}
			m := &Meter{Clock: manual}
			m.SetPeers(map[string]float32{requestsItem + "lm": 70, underWayItem + "lm": 70})
			var zones []ZoneKey
			r := &Runner{
				Clock: manual, Log: logr.Discard(), Meter: m, Lease: &fakeLease{held: c.held, lapses: c.lapses}, Platform: platform,
				Snapshot: func() *catalogue.Snapshot { return snapshot }, ListAge: func() clock.Millis { return 0 },
				OnZone: func(service, zone string) { zones = append(zones, ZoneKey{Service: service, Zone: zone}) },
			}
			for _, want := range [][]duty.ScaleOrder{c.want, c.wantLater} {
				platform.orders = nil
				r.step(t.Context())
				slices.SortFunc(platform.orders, func(a, b duty.ScaleOrder) int { return strings.Compare(a.Zone, b.Zone) })
				if diff := cmp.Diff(want, platform.orders); diff != "" {
					t.Errorf("orders (-want +got):\n%s", diff)
				}
				manual.Advance(3 * clock.Second)
				m.SetPeers(map[string]float32{requestsItem + "lm": 70, underWayItem + "lm": 70})
			}
			unordered := []ZoneState{{Service: "lm", Zone: "a", Running: 1, Wanted: 1}, {Service: "lm", Zone: "b", Running: 1, Wanted: 1}}
			if diff := cmp.Diff(unordered, r.Zones()); !c.held && c.limit != nil && diff != "" {
				t.Errorf("zones of an instance without the lease (-want +got):\n%s", diff)
			}
			if want := 2; c.limit != nil && (len(zones) != want || len(r.Zones()) != want) {
				t.Errorf("got zones %v and states %v, want %d of each", zones, r.Zones(), want)
			}
		})
	}
}

func TestMeter(t *testing.T) {
	t.Parallel()
	manual := clock.NewManual(5000)
	newMeter := func() *Meter {
		return &Meter{Clock: manual, ReadingTime: func(*request.Call) float64 { return 500 }}
	}
	one, two := newMeter(), newMeter()
	limited := &catalogue.Pool{Name: "lm", Scaling: &catalogue.ScaleLimits{Min: 1, Max: 2}}
	send := func(m *Meter, pool *catalogue.Pool, answerAfter clock.Millis, excluded ...string) {
		c := &request.Call{Pool: pool, Excluded: excluded, Route: &catalogue.Route{Target: 1000}, OnFirstEvent: func() {}}
		err := m.Filter(t.Context(), c, request.HandlerFunc(func(_ context.Context, c *request.Call) error {
			manual.Advance(answerAfter)
			c.OnFirstEvent()
			manual.Advance(1000)
			return nil
		}))
		if err != nil {
			t.Fatal(err)
		}
	}
	for range 40 {
		send(two, &catalogue.Pool{Name: "desk"}, 0)
		send(one, limited, 0, "i-1")
		send(one, limited, 0)
		send(two, limited, 1500)
	}
	items := map[string]float32{}
	two.AddOwn(items)
	one.SetPeers(items)
	got := one.Demand("lm")
	// The calls are at upstreams for the last 4.5 of each 5.5 seconds, one of them as a retry.
	for _, c := range []struct {
		name             string
		got, least, most float64
	}{
		{"Requests", got.Requests, 0.11, 0.12}, {"UnderWay", got.UnderWay, 0.95, 1}, {"Reading", got.Reading, 0.055, 0.06},
		{"Late", got.Late, 0.36, 0.38},
	} {
		if c.got < c.least || c.got > c.most {
			t.Errorf("%s is %.3f, want %.2f to %.2f", c.name, c.got, c.least, c.most)
		}
	}
	if diff := cmp.Diff(Demand{}, one.Demand("desk")); diff != "" {
		t.Errorf("demand of a service without limits (-want +got):\n%s", diff)
	}
	for _, c := range []struct {
		name   string
		peers  float32
		listed int
		after  clock.Millis
		want   float64
	}{
		{name: "all report", peers: 9, listed: 10, want: 1},
		{name: "some don't report", peers: 7, listed: 10, want: 0.8},
		{name: "they are gone", peers: 7, listed: 10, after: goneAfter + 1, want: 1},
		{name: "another one is listed", peers: 7, listed: 11, want: 8.0 / 11},
		{name: "it reports", peers: 10, listed: 11, want: 1},
	} {
		manual.Advance(c.after)
		one.SetPeers(map[string]float32{reporterItem: c.peers})
		if got := one.Reporting(c.listed); got != c.want {
			t.Errorf("%s: reporting is %v, want %v", c.name, got, c.want)
		}
	}
}
