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

// listClient has the methods that the HTTP client and the fake share.
type listClient interface {
	Instances(ctx context.Context) (backoffice.Listing, error)
}

// listUnderTest is an instance list under test with its fault controls.
type listUnderTest struct {
	listClient
	put    func(backoffice.Instance)
	remove func(name string)
	lag    func(clock.Millis)
	freeze func(bool)
	down   func(bool)
}

func fakeList(*testing.T) *listUnderTest {
	l := &fake.List{Clock: clock.NewManual(clock.Second)}
	return &listUnderTest{
		listClient: l,
		put:        l.Put,
		remove:     l.Remove,
		lag:        l.SetLag,
		freeze:     l.Freeze,
		down:       func(on bool) { l.SetFaults(fake.Faults{Down: on}) },
	}
}

func httpList(t *testing.T) *listUnderTest {
	l := standin.NewList()
	srv := serve(t, l.Handler())
	update := l.Faults.Update
	return &listUnderTest{
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
		name    string
		run     func(l *listUnderTest)
		want    []backoffice.Instance
		wantErr errorClass
	}{
		{name: "empty", run: func(*listUnderTest) {}},
		{name: "two", run: func(l *listUnderTest) { l.put(two); l.put(one) }, want: []backoffice.Instance{one, two}},
		{name: "removed", run: func(l *listUnderTest) { l.put(two); l.put(one); l.remove("one") }, want: []backoffice.Instance{two}},
		{name: "a new instance is hidden by the lag", run: func(l *listUnderTest) { l.lag(hour); l.put(one) }},
		{name: "lag reset", run: func(l *listUnderTest) { l.lag(hour); l.put(one); l.lag(0) }, want: []backoffice.Instance{one}},
		{name: "frozen", run: func(l *listUnderTest) { l.put(one); l.freeze(true); l.put(two) }, want: []backoffice.Instance{one}},
		{
			name: "frozen and released",
			run:  func(l *listUnderTest) { l.put(one); l.freeze(true); l.put(two); l.freeze(false) },
			want: []backoffice.Instance{one, two},
		},
		{name: "down", run: func(l *listUnderTest) { l.put(one); l.down(true) }, wantErr: errorClass{Unavailable: true}},
	}
	for _, c := range cases {
		runOnBoth(t, c.name, httpList, fakeList, func(t *testing.T, l *listUnderTest) {
			c.run(l)
			got, err := l.Instances(t.Context())
			checkErrorClass(t, "error", c.wantErr, withoutStatus(classify(err)))
			if diff := cmp.Diff(c.want, got.Instances); diff != "" {
				t.Errorf("instances (-want +got):\n%s", diff)
			}
		})
	}
}

// ratingsClient has the methods that the HTTP client and the fake share.
type ratingsClient interface {
	Ratings(ctx context.Context, from int64, limit int) (backoffice.RatingBatch, error)
	Rate(ctx context.Context, in backoffice.RateRequest) (float64, error)
}

// ratingsUnderTest is a ratings service under test with its fault controls.
type ratingsUnderTest struct {
	ratingsClient
	params  func(fake.RatingParams)
	observe func(fake.Answer)
	faults  func(down bool, loseAnswers int)
}

func fakeRatings(*testing.T) *ratingsUnderTest {
	s := &fake.Ratings{Clock: clock.NewManual(clock.Second)}
	return &ratingsUnderTest{
		ratingsClient: s,
		params:        s.SetParams,
		observe:       s.Observe,
		faults:        func(down bool, loseAnswers int) { s.SetFaults(fake.Faults{Down: down, LoseAnswers: loseAnswers}) },
	}
}

func httpRatings(t *testing.T) *ratingsUnderTest {
	s := standin.NewRatings()
	srv := serve(t, s.Handler())
	return &ratingsUnderTest{
		ratingsClient: &backoffice.Ratings{BaseURL: srv.URL, HTTP: srv.Client()},
		params:        func(r fake.RatingParams) { s.Faults.Update(func(f *standin.RatingsFaults) { f.RatingParams = r }) },
		observe:       s.Observe,
		faults: func(down bool, loseAnswers int) {
			s.Faults.Update(func(f *standin.RatingsFaults) { f.Down, f.LoseAnswers = down, loseAnswers })
		},
	}
}

func TestRatingsContract(t *testing.T) {
	all := fake.RatingParams{DefaultMean: 0.5, Means: map[catalogue.VersionID]float64{"m@2": 0.25}, Share: 1}
	delayed := all
	delayed.LagMillis = 3600 * clock.Second
	unsampled := all
	unsampled.Share = 0
	rating := func(id string, v catalogue.VersionID, score float64) backoffice.Rating {
		return backoffice.Rating{RequestID: id, Version: v, Task: "chat", Score: score}
	}
	whole := backoffice.RatingBatch{Ratings: []backoffice.Rating{rating("r1", "m@1", 0.5), rating("r2", "m@2", 0.25)}, Next: 2}
	cases := []struct {
		name        string
		params      fake.RatingParams
		down        bool
		loseAnswers int
		from        int64
		limit       int
		want        backoffice.RatingBatch
		wantErr     errorClass
		wantScore   float64
		wantRateErr errorClass
	}{
		{name: "all", params: all, limit: 10, want: whole, wantScore: 0.25},
		{name: "limit", params: all, limit: 1, want: backoffice.RatingBatch{Ratings: whole.Ratings[:1], Next: 1}, wantScore: 0.25},
		{name: "from", params: all, from: 1, limit: 9, want: backoffice.RatingBatch{Ratings: whole.Ratings[1:], Next: 2}, wantScore: 0.25},
		{name: "from the end", params: all, from: 2, limit: 9, want: backoffice.RatingBatch{Next: 2}, wantScore: 0.25},
		{name: "not due yet", params: delayed, limit: 10, wantScore: 0.25},
		{name: "none sampled", params: unsampled, limit: 10, wantScore: 0.25},
		{name: "down", params: all, down: true, limit: 10, wantErr: errorClass{Unavailable: true}, wantRateErr: errorClass{Unavailable: true}},
		{name: "response lost", params: all, loseAnswers: 1, limit: 10, want: whole, wantRateErr: errorClass{Unavailable: true, OutcomeUnknown: true}},
	}
	for _, c := range cases {
		runOnBoth(t, c.name, httpRatings, fakeRatings, func(t *testing.T, s *ratingsUnderTest) {
			s.params(c.params)
			s.observe(fake.Answer{RequestID: "r1", Version: "m@1", Task: "chat"})
			s.observe(fake.Answer{RequestID: "r2", Version: "m@2", Task: "chat"})
			s.faults(c.down, c.loseAnswers)
			got, err := s.Ratings(t.Context(), c.from, c.limit)
			checkErrorClass(t, "error of Ratings", c.wantErr, withoutStatus(classify(err)))
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("ratings (-want +got):\n%s", diff)
			}
			score, err := s.Rate(t.Context(), backoffice.RateRequest{RequestID: "r3", Version: "m@2"})
			checkErrorClass(t, "error of Rate", c.wantRateErr, withoutStatus(classify(err)))
			if diff := cmp.Diff(c.wantScore, score); diff != "" {
				t.Errorf("score (-want +got):\n%s", diff)
			}
		})
	}
}

// enginesClient has the methods that the HTTP client and the fake share.
type enginesClient interface {
	Load(ctx context.Context, address string) (backoffice.LoadReport, error)
	CacheEvents(ctx context.Context, address string, from int64) (backoffice.CacheEvents, error)
	Order(ctx context.Context, address string, o backoffice.Order) error
	Cancel(ctx context.Context, address, requestID string, keep bool) error
}

// enginesUnderTest is one engine under test with its fault controls.
type enginesUnderTest struct {
	enginesClient
	address string
	faults  func(down bool, loseAnswers int, ignoreFence bool)
	orders  func() []backoffice.Order
}

func fakeEngines(*testing.T) *enginesUnderTest {
	s := &fake.Engines{Clock: clock.NewManual(clock.Second)}
	e := s.Add("127.0.0.1:1")
	e.SetLoadReport(backoffice.LoadReport{Bearable: 4})
	return &enginesUnderTest{
		enginesClient: s,
		address:       "127.0.0.1:1",
		faults: func(down bool, loseAnswers int, ignoreFence bool) {
			e.SetFaults(fake.Faults{Down: down, LoseAnswers: loseAnswers})
			e.IgnoreFence(ignoreFence)
		},
		orders: e.Orders.Orders,
	}
}

func httpEngines(t *testing.T) *enginesUnderTest {
	e := standin.NewEngine(standin.EngineFaults{Bearable: 4})
	srv := serve(t, e.Handler())
	return &enginesUnderTest{
		enginesClient: &backoffice.Engines{HTTP: srv.Client()},
		address:       strings.TrimPrefix(srv.URL, "http://"),
		faults: func(down bool, loseAnswers int, ignoreFence bool) {
			e.Faults.Update(func(f *standin.EngineFaults) {
				f.Down, f.LoseAnswers, f.IgnoreFence = down, loseAnswers, ignoreFence
			})
		},
		orders: e.Orders,
	}
}

func TestEngineContract(t *testing.T) {
	order := func(id string, fence int64) backoffice.Order {
		return backoffice.Order{ID: id, Fence: fence, Kind: backoffice.OrderLoad, Version: "m@1"}
	}
	down := errorClass{Unavailable: true}
	cases := []struct {
		name        string
		down        bool
		loseAnswers int
		ignoreFence bool
		orders      []backoffice.Order
		// wantErr is the class of the error from the last order.
		wantErr     errorClass
		wantOrders  []backoffice.Order
		load        backoffice.LoadReport
		wantLoadErr errorClass
	}{
		{name: "no order", load: backoffice.LoadReport{Bearable: 4}},
		{
			name: "increasing fencing tokens", orders: []backoffice.Order{order("a", 1), order("b", 2)},
			wantOrders: []backoffice.Order{order("a", 1), order("b", 2)}, load: backoffice.LoadReport{Bearable: 4},
		},
		{
			name: "outdated fencing token rejected", orders: []backoffice.Order{order("a", 2), order("b", 1)},
			wantErr:    errorClass{Fenced: &backoffice.FencedError{Fence: 1, Newest: 2}},
			wantOrders: []backoffice.Order{order("a", 2)}, load: backoffice.LoadReport{Bearable: 4},
		},
		{
			name: "outdated fencing token ignored", ignoreFence: true, orders: []backoffice.Order{order("a", 2), order("b", 1)},
			wantOrders: []backoffice.Order{order("a", 2), order("b", 1)}, load: backoffice.LoadReport{Bearable: 4},
		},
		{
			name: "repeated order", orders: []backoffice.Order{order("a", 1), order("a", 1)},
			wantOrders: []backoffice.Order{order("a", 1)}, load: backoffice.LoadReport{Bearable: 4},
		},
		{
			name: "response lost", loseAnswers: 1, orders: []backoffice.Order{order("a", 1)},
			wantErr:    errorClass{Unavailable: true, OutcomeUnknown: true},
			wantOrders: []backoffice.Order{order("a", 1)}, load: backoffice.LoadReport{Bearable: 4},
		},
		{name: "down", down: true, orders: []backoffice.Order{order("a", 1)}, wantErr: down, wantLoadErr: down},
	}
	for _, c := range cases {
		runOnBoth(t, c.name, httpEngines, fakeEngines, func(t *testing.T, e *enginesUnderTest) {
			ctx := t.Context()
			e.faults(c.down, c.loseAnswers, c.ignoreFence)
			var err error
			for _, o := range c.orders {
				err = e.Order(ctx, e.address, o)
			}
			got := withoutStatus(classify(err))
			if got.Fenced != nil {
				got.Fenced.Engine = ""
			}
			checkErrorClass(t, "error of the last order", c.wantErr, got)
			if diff := cmp.Diff(c.wantOrders, e.orders()); diff != "" {
				t.Errorf("accepted orders (-want +got):\n%s", diff)
			}
			load, err := e.Load(ctx, e.address)
			checkErrorClass(t, "error of Load", c.wantLoadErr, withoutStatus(classify(err)))
			if diff := cmp.Diff(c.load, load); diff != "" {
				t.Errorf("load report (-want +got):\n%s", diff)
			}
			err = e.Cancel(ctx, e.address, "unknown", false)
			checkErrorClass(t, "error of Cancel for an unknown request", c.wantLoadErr, withoutStatus(classify(err)))
			_, err = e.CacheEvents(ctx, e.address, 0)
			checkErrorClass(t, "error of CacheEvents", c.wantLoadErr, withoutStatus(classify(err)))
		})
	}
}
