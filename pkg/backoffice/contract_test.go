package backoffice_test

import (
	"context"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/backoffice/fake"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/standin"
)

type listClient interface {
	Instances(ctx context.Context) (backoffice.Listing, error)
}

// listBackend is a list under test with its switches.
type listBackend struct {
	listClient
	put    func(backoffice.Instance)
	remove func(name string)
	lag    func(clock.Millis)
	freeze func(bool)
	down   func(bool)
}

func fakeList(*testing.T) *listBackend {
	l := &fake.List{Clock: clock.NewManual(clock.Second)}
	return &listBackend{
		listClient: l,
		put:        l.Put,
		remove:     l.Remove,
		lag:        l.SetLag,
		freeze:     l.Freeze,
		down:       func(on bool) { l.SetFaults(fake.Faults{Down: on}) },
	}
}

func httpList(t *testing.T) *listBackend {
	l := standin.NewList()
	srv := serve(t, l.Handler())
	update := l.Switches.Update
	return &listBackend{
		listClient: &backoffice.List{BaseURL: srv.URL, HTTP: srv.Client()},
		put:        l.Put,
		remove:     l.Remove,
		lag:        func(d clock.Millis) { update(func(f *standin.ListFaults) { f.StaleMillis = d }) },
		freeze:     func(on bool) { update(func(f *standin.ListFaults) { f.Freeze = on }) },
		down:       func(on bool) { update(func(f *standin.ListFaults) { f.Down = on }) },
	}
}

func TestListContract(t *testing.T) {
	one := backoffice.Instance{Name: "one", Role: catalogue.RoleEntry, Address: "127.0.0.1:1", PeerAddress: "127.0.0.1:2", Zone: "a", Incarnation: 3}
	two := backoffice.Instance{Name: "two", Role: catalogue.RoleEngine, Address: "127.0.0.1:3", Zone: "b", Leaving: true, Versions: []catalogue.VersionID{"m@1"}}
	const hour = 3600 * clock.Second
	cases := []struct {
		name   string
		run    func(l *listBackend)
		want   []backoffice.Instance
		failed verdict
	}{
		{name: "empty", run: func(*listBackend) {}},
		{name: "two", run: func(l *listBackend) { l.put(two); l.put(one) }, want: []backoffice.Instance{one, two}},
		{name: "removed", run: func(l *listBackend) { l.put(two); l.put(one); l.remove("one") }, want: []backoffice.Instance{two}},
		{name: "lag hides what is new", run: func(l *listBackend) { l.lag(hour); l.put(one) }},
		{name: "lag over", run: func(l *listBackend) { l.lag(hour); l.put(one); l.lag(0) }, want: []backoffice.Instance{one}},
		{name: "frozen", run: func(l *listBackend) { l.put(one); l.freeze(true); l.put(two) }, want: []backoffice.Instance{one}},
		{
			name: "frozen and let go",
			run:  func(l *listBackend) { l.put(one); l.freeze(true); l.put(two); l.freeze(false) },
			want: []backoffice.Instance{one, two},
		},
		{name: "down", run: func(l *listBackend) { l.put(one); l.down(true) }, failed: verdict{Unavailable: true}},
	}
	for _, c := range cases {
		onBoth(t, c.name, httpList, fakeList, func(t *testing.T, l *listBackend) {
			c.run(l)
			got, err := l.Instances(t.Context())
			checkVerdict(t, "error", c.failed, ignoreStatus(classify(err)))
			if diff := cmp.Diff(c.want, got.Instances); diff != "" {
				t.Errorf("instances (-want +got):\n%s", diff)
			}
		})
	}
}

type ratingsClient interface {
	Ratings(ctx context.Context, from int64, limit int) (backoffice.RatingBatch, error)
	Rate(ctx context.Context, in backoffice.RateRequest) (float64, error)
}

// ratingsBackend is a ratings service under test with its switches.
type ratingsBackend struct {
	ratingsClient
	raters  func(fake.Raters)
	observe func(fake.Answer)
	faults  func(down bool, loseAnswers int)
}

func fakeRatings(*testing.T) *ratingsBackend {
	s := &fake.Ratings{Clock: clock.NewManual(clock.Second)}
	return &ratingsBackend{
		ratingsClient: s,
		raters:        s.SetRaters,
		observe:       s.Observe,
		faults:        func(down bool, lose int) { s.SetFaults(fake.Faults{Down: down, LoseAnswers: lose}) },
	}
}

func httpRatings(t *testing.T) *ratingsBackend {
	s := standin.NewRatings()
	srv := serve(t, s.Handler())
	return &ratingsBackend{
		ratingsClient: &backoffice.Ratings{BaseURL: srv.URL, HTTP: srv.Client()},
		raters:        func(r fake.Raters) { s.Switches.Update(func(f *standin.RatingsFaults) { f.Raters = r }) },
		observe:       s.Observe,
		faults: func(down bool, lose int) {
			s.Switches.Update(func(f *standin.RatingsFaults) { f.Down, f.LoseAnswers = down, lose })
		},
	}
}

func TestRatingsContract(t *testing.T) {
	all := fake.Raters{DefaultMean: 0.5, Means: map[catalogue.VersionID]float64{"m@2": 0.25}, Share: 1}
	late := all
	late.LagMillis = 3600 * clock.Second
	none := all
	none.Share = 0
	rating := func(id string, v catalogue.VersionID, score float64) backoffice.Rating {
		return backoffice.Rating{RequestID: id, Version: v, Task: "chat", Score: score}
	}
	whole := backoffice.RatingBatch{Ratings: []backoffice.Rating{rating("r1", "m@1", 0.5), rating("r2", "m@2", 0.25)}, Next: 2}
	cases := []struct {
		name       string
		raters     fake.Raters
		down       bool
		lose       int
		from       int64
		limit      int
		want       backoffice.RatingBatch
		failed     verdict
		rate       float64
		rateFailed verdict
	}{
		{name: "all", raters: all, limit: 10, want: whole, rate: 0.25},
		{name: "limit", raters: all, limit: 1, want: backoffice.RatingBatch{Ratings: whole.Ratings[:1], Next: 1}, rate: 0.25},
		{name: "from", raters: all, from: 1, limit: 9, want: backoffice.RatingBatch{Ratings: whole.Ratings[1:], Next: 2}, rate: 0.25},
		{name: "end", raters: all, from: 2, limit: 9, want: backoffice.RatingBatch{Next: 2}, rate: 0.25},
		{name: "late", raters: late, limit: 10, rate: 0.25},
		{name: "none sampled", raters: none, limit: 10, rate: 0.25},
		{name: "down", raters: all, down: true, limit: 10, failed: verdict{Unavailable: true}, rateFailed: verdict{Unavailable: true}},
		{name: "answer lost", raters: all, lose: 1, limit: 10, want: whole, rateFailed: verdict{Unavailable: true, Unknown: true}},
	}
	for _, c := range cases {
		onBoth(t, c.name, httpRatings, fakeRatings, func(t *testing.T, s *ratingsBackend) {
			s.raters(c.raters)
			s.observe(fake.Answer{RequestID: "r1", Version: "m@1", Task: "chat"})
			s.observe(fake.Answer{RequestID: "r2", Version: "m@2", Task: "chat"})
			s.faults(c.down, c.lose)
			got, err := s.Ratings(t.Context(), c.from, c.limit)
			checkVerdict(t, "ratings error", c.failed, ignoreStatus(classify(err)))
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("ratings (-want +got):\n%s", diff)
			}
			score, err := s.Rate(t.Context(), backoffice.RateRequest{RequestID: "r3", Version: "m@2"})
			checkVerdict(t, "rate error", c.rateFailed, ignoreStatus(classify(err)))
			if diff := cmp.Diff(c.rate, score); diff != "" {
				t.Errorf("score (-want +got):\n%s", diff)
			}
		})
	}
}

type enginesClient interface {
	Load(ctx context.Context, address string) (backoffice.LoadReport, error)
	CacheEvents(ctx context.Context, address string, from int64) (backoffice.CacheEvents, error)
	Order(ctx context.Context, address string, o backoffice.Order) error
	Cancel(ctx context.Context, address, requestID string, keep bool) error
}

// enginesBackend is one engine under test with its switches.
type enginesBackend struct {
	enginesClient
	address string
	faults  func(down bool, loseAnswers int, ignoreFence bool)
	orders  func() []backoffice.Order
}

func fakeEngines(*testing.T) *enginesBackend {
	s := &fake.Engines{Clock: clock.NewManual(clock.Second)}
	e := s.Add("127.0.0.1:1")
	e.SetReport(backoffice.LoadReport{Bearable: 4})
	return &enginesBackend{
		enginesClient: s,
		address:       "127.0.0.1:1",
		faults: func(down bool, lose int, ignore bool) {
			e.SetFaults(fake.Faults{Down: down, LoseAnswers: lose})
			e.IgnoreFence(ignore)
		},
		orders: e.Orders.Orders,
	}
}

func httpEngines(t *testing.T) *enginesBackend {
	e := standin.NewEngine(standin.EngineFaults{Bearable: 4})
	srv := serve(t, e.Handler())
	return &enginesBackend{
		enginesClient: &backoffice.Engines{HTTP: srv.Client()},
		address:       strings.TrimPrefix(srv.URL, "http://"),
		faults: func(down bool, lose int, ignore bool) {
			e.Switches.Update(func(f *standin.EngineFaults) {
				f.Down, f.LoseAnswers, f.IgnoreFence = down, lose, ignore
			})
		},
		orders: e.Orders,
	}
}

func TestEngineContract(t *testing.T) {
	order := func(id string, fence int64) backoffice.Order {
		return backoffice.Order{ID: id, Fence: fence, Kind: backoffice.OrderLoad, Version: "m@1"}
	}
	down := verdict{Unavailable: true}
	cases := []struct {
		name   string
		down   bool
		lose   int
		ignore bool
		orders []backoffice.Order
		// failed is the verdict on the last order.
		failed verdict
		taken  []backoffice.Order
		load   backoffice.LoadReport
		loaded verdict
	}{
		{name: "no order", load: backoffice.LoadReport{Bearable: 4}},
		{
			name: "growing numbers", orders: []backoffice.Order{order("a", 1), order("b", 2)},
			taken: []backoffice.Order{order("a", 1), order("b", 2)}, load: backoffice.LoadReport{Bearable: 4},
		},
		{
			name: "old number refused", orders: []backoffice.Order{order("a", 2), order("b", 1)},
			failed: verdict{Fenced: &backoffice.FencedError{Fence: 1, Newest: 2}},
			taken:  []backoffice.Order{order("a", 2)}, load: backoffice.LoadReport{Bearable: 4},
		},
		{
			name: "old number obeyed", ignore: true, orders: []backoffice.Order{order("a", 2), order("b", 1)},
			taken: []backoffice.Order{order("a", 2), order("b", 1)}, load: backoffice.LoadReport{Bearable: 4},
		},
		{
			name: "same order twice", orders: []backoffice.Order{order("a", 1), order("a", 1)},
			taken: []backoffice.Order{order("a", 1)}, load: backoffice.LoadReport{Bearable: 4},
		},
		{
			name: "answer lost", lose: 1, orders: []backoffice.Order{order("a", 1)},
			failed: verdict{Unavailable: true, Unknown: true},
			taken:  []backoffice.Order{order("a", 1)}, load: backoffice.LoadReport{Bearable: 4},
		},
		{name: "down", down: true, orders: []backoffice.Order{order("a", 1)}, failed: down, loaded: down},
	}
	for _, c := range cases {
		onBoth(t, c.name, httpEngines, fakeEngines, func(t *testing.T, e *enginesBackend) {
			ctx := t.Context()
			e.faults(c.down, c.lose, c.ignore)
			var err error
			for _, o := range c.orders {
				err = e.Order(ctx, e.address, o)
			}
			got := ignoreStatus(classify(err))
			if got.Fenced != nil {
				got.Fenced.Engine = ""
			}
			checkVerdict(t, "order", c.failed, got)
			if diff := cmp.Diff(c.taken, e.orders()); diff != "" {
				t.Errorf("orders taken (-want +got):\n%s", diff)
			}
			load, err := e.Load(ctx, e.address)
			checkVerdict(t, "load error", c.loaded, ignoreStatus(classify(err)))
			if diff := cmp.Diff(c.load, load); diff != "" {
				t.Errorf("load (-want +got):\n%s", diff)
			}
			err = e.Cancel(ctx, e.address, "unknown", false)
			checkVerdict(t, "cancel of an unknown request", c.loaded, ignoreStatus(classify(err)))
			_, err = e.CacheEvents(ctx, e.address, 0)
			checkVerdict(t, "cache events", c.loaded, ignoreStatus(classify(err)))
		})
	}
}
