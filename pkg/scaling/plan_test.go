package scaling

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/duty"
)

var testPool = &catalogue.Pool{
	Name: "lm", Slots: 10, ColdTime: 3 * clock.Second,
	Scaling: &catalogue.ScaleLimits{Min: 4, Max: 30, StartTime: 8 * clock.Second},
}

// fleet carries out orders as a platform does: new upstreams are listed once they have started, others leave at once.
type fleet struct {
	running map[string]int
	starts  []start
}

type start struct {
	at    clock.Millis
	order duty.ScaleOrder
}

func (f *fleet) apply(o duty.ScaleOrder, now clock.Millis) {
	f.running[o.Zone] = min(f.running[o.Zone], o.Count)
	f.starts = append(f.starts, start{at: now + testPool.Scaling.StartTime, order: o})
}

func (f *fleet) advance(now clock.Millis) {
	for len(f.starts) > 0 && f.starts[0].at <= now {
		f.running[f.starts[0].order.Zone] = max(f.running[f.starts[0].order.Zone], f.starts[0].order.Count)
		f.starts = f.starts[1:]
	}
}

// underWay returns the demand with a number of requests at upstreams, each of which takes a second.
func underWay(n float64) Demand { return Demand{Requests: n, UnderWay: n} }

// testEvent is an order, or what runs in each zone after the last order.
type testEvent struct {
	Second  int
	Zone    string
	Count   int
	Running []int `json:",omitempty"`
}

func TestPlan(t *testing.T) {
	t.Parallel()
	zones := []string{"a", "b", "c"}
	steady := func(int) float64 { return 50 }
	for _, c := range []struct {
		name    string
		initial int
		seconds int
		load    func(second int) float64
		// suspended has the seconds from and to which the instance doesn't run.
		suspended [2]int
		// change changes the state and the fleet before a decision.
		change func(second int, s *State, f *fleet)
		// answer returns what becomes of an order; nil carries out all.
		answer func(second int, o duty.ScaleOrder, f *fleet) bool
		want   []testEvent
	}{
		{
			name: "a steady load", initial: 4, seconds: 60, load: steady,
			want: []testEvent{{Running: []int{4, 4, 4}}},
		},
		{
			name: "a wave", initial: 10, seconds: 120,
			load: func(second int) float64 { return []float64{80, 95, 110, 120, 125, 120, 110, 95, 80, 70, 70}[second%11] },
			want: []testEvent{{11, "a", 8, nil}, {11, "b", 8, nil}, {11, "c", 8, nil}, {Running: []int{8, 8, 8}}},
		},
		{
			name: "a need slightly below what runs", initial: 20, seconds: 60, load: func(int) float64 { return 330 },
			want: []testEvent{{Running: []int{20, 20, 20}}},
		},
		{
			name: "a step up", initial: 4, seconds: 60,
			load: func(second int) float64 {
				if second < 20 {
					return 50
				}
				return 200
			},
			want: []testEvent{{20, "a", 12, nil}, {20, "b", 12, nil}, {20, "c", 12, nil}, {Running: []int{12, 12, 12}}},
		},
		{
			name: "a step down", initial: 12, seconds: 90,
			load: func(second int) float64 {
				if second < 20 {
					return 200
				}
				return 50
			},
			want: []testEvent{{53, "a", 4, nil}, {53, "b", 4, nil}, {53, "c", 4, nil}, {Running: []int{4, 4, 4}}},
		},
		{
			name: "a burst shorter than a start that the upstreams carry", initial: 4, seconds: 60,
			load: func(second int) float64 {
				if second >= 20 && second < 23 {
					return 95
				}
				return 50
			},
			want: []testEvent{{Running: []int{4, 4, 4}}},
		},
		{
			name: "bursts shorter than a start that come again", initial: 4, seconds: 100,
			load: func(second int) float64 {
				if second >= 20 && second%20 < 3 {
					return 150
				}
				return 50
			},
			want: []testEvent{{20, "a", 9, nil}, {20, "b", 9, nil}, {20, "c", 9, nil}, {Running: []int{9, 9, 9}}},
		},
		{
			name: "a zone lost", initial: 5, seconds: 75, load: func(int) float64 { return 80 },
			change: func(second int, _ *State, f *fleet) {
				if second >= 20 {
					delete(f.running, "c")
				}
			},
			want: []testEvent{{62, "a", 10, nil}, {62, "b", 10, nil}, {Running: []int{10, 10, 0}}},
		},
		{
			name: "a release under way", initial: 10, seconds: 80, load: steady,
			change: func(second int, s *State, _ *fleet) {
				if s.Rollout = second >= 5 && second < 40; s.Rollout {
					for _, releases := range s.Running {
						releases["v2"] = releases["v1"]
					}
				}
			},
			want: []testEvent{{51, "a", 4, nil}, {51, "b", 4, nil}, {51, "c", 4, nil}, {Running: []int{4, 4, 4}}},
		},
		{
			name: "upstreams replaced one after the other", initial: 4, seconds: 60, load: steady,
			change: func(second int, s *State, _ *fleet) {
				s.Running["abc"[second%3:second%3+1]]["v1"] -= second % 2
			},
			want: []testEvent{{Running: []int{4, 4, 4}}},
		},
		{
			name: "upstreams lost for good", initial: 4, seconds: 60, load: steady,
			change: func(second int, _ *State, f *fleet) {
				if second == 20 {
					f.running["b"] = 3
				}
			},
			want: []testEvent{{29, "b", 4, nil}, {Running: []int{4, 4, 4}}},
		},
		{
			name: "a step up while a release is under way", initial: 4, seconds: 40,
			load: func(second int) float64 {
				if second < 20 {
					return 50
				}
				return 200
			},
			change: func(second int, s *State, _ *fleet) {
				if s.Rollout = second >= 5; s.Rollout {
					for _, releases := range s.Running {
						releases["v2"] = releases["v1"]
					}
				}
			},
			want: []testEvent{{20, "a", 12, nil}, {20, "b", 12, nil}, {20, "c", 12, nil}, {Running: []int{12, 12, 12}}},
		},
		{
			name: "reports missing", initial: 10, seconds: 50, load: steady,
			change: func(second int, s *State, _ *fleet) {
				if second < 20 {
					s.Reporting = 0.8
				}
			},
			want: []testEvent{{31, "a", 4, nil}, {31, "b", 4, nil}, {31, "c", 4, nil}, {Running: []int{4, 4, 4}}},
		},
		{
			name: "most reports missing at a step up", initial: 4, seconds: 30, load: func(int) float64 { return 200 },
			change: func(_ int, s *State, _ *fleet) { s.Reporting = 0.3 },
			want:   []testEvent{{Running: []int{4, 4, 4}}},
		},
		{
			name: "an old list", initial: 4, seconds: 30, load: func(int) float64 { return 200 },
			change: func(_ int, s *State, _ *fleet) { s.ListAge = 9 * clock.Second },
			want:   []testEvent{{Running: []int{4, 4, 4}}},
		},
		{
			name: "a suspended instance", initial: 10, seconds: 40, load: steady, suspended: [2]int{5, 20},
			want: []testEvent{{28, "a", 4, nil}, {28, "b", 4, nil}, {28, "c", 4, nil}, {Running: []int{4, 4, 4}}},
		},
		{
			name: "late answers", initial: 10, seconds: 50, load: steady,
			change: func(second int, s *State, _ *fleet) {
				if second == 10 {
					s.Demand.Late = 5
				}
			},
			want: []testEvent{{22, "a", 4, nil}, {22, "b", 4, nil}, {22, "c", 4, nil}, {Running: []int{4, 4, 4}}},
		},
		{
			name: "an order carried out late, after a newer one", initial: 4, seconds: 60, load: steady,
			change: func(second int, _ *State, f *fleet) {
				if second == 20 {
					f.apply(duty.ScaleOrder{Service: "lm", Zone: "a", Count: 10}, clock.Millis(second)*clock.Second)
				}
			},
			want: []testEvent{{36, "a", 4, nil}, {Running: []int{4, 4, 4}}},
		},
		{
			name: "refused orders", initial: 4, seconds: 32, load: func(int) float64 { return 200 },
			answer: func(second int, o duty.ScaleOrder, f *fleet) bool {
				if second < 10 {
					return false
				}
				f.apply(o, clock.Millis(second)*clock.Second)
				return true
			},
			want: []testEvent{
				{0, "a", 12, nil}, {0, "b", 12, nil}, {0, "c", 12, nil}, {2, "a", 12, nil}, {2, "b", 12, nil}, {2, "c", 12, nil},
				{6, "a", 12, nil}, {6, "b", 12, nil}, {6, "c", 12, nil}, {14, "a", 12, nil}, {14, "b", 12, nil}, {14, "c", 12, nil},
				{Running: []int{12, 12, 12}},
			},
		},
		{
			name: "orders that nobody carries out", initial: 4, seconds: 70, load: func(int) float64 { return 200 },
			answer: func(int, duty.ScaleOrder, *fleet) bool { return true },
			want: []testEvent{
				{0, "a", 12, nil}, {0, "b", 12, nil}, {0, "c", 12, nil}, {11, "a", 12, nil}, {11, "b", 12, nil}, {11, "c", 12, nil},
				{33, "a", 12, nil}, {33, "b", 12, nil}, {33, "c", 12, nil}, {Running: []int{4, 4, 4}},
			},
		},
		{
			name: "requests that wait in overload", initial: 4, seconds: 50,
			load: func(second int) float64 {
				if second < 20 {
					return 50
				}
				return 150
			},
			change: func(second int, s *State, _ *fleet) {
				if second >= 20 && second < 30 {
					s.Demand.UnderWay *= 4
				}
			},
			want: []testEvent{{20, "a", 14, nil}, {20, "b", 14, nil}, {20, "c", 14, nil}, {Running: []int{14, 14, 14}}},
		},
		{
			name: "requests become longer for good", initial: 4, seconds: 50, load: steady,
			change: func(second int, s *State, _ *fleet) {
				if second >= 20 {
					s.Demand.UnderWay *= 4
				}
			},
			want: []testEvent{{20, "a", 8, nil}, {20, "b", 8, nil}, {20, "c", 8, nil}, {30, "a", 13, nil}, {30, "b", 13, nil}, {30, "c", 13, nil}, {Running: []int{13, 13, 13}}},
		},
		{
			name: "more than the limits", initial: 4, seconds: 20, load: func(int) float64 { return 2000 },
			want: []testEvent{{0, "a", 30, nil}, {0, "b", 30, nil}, {0, "c", 30, nil}, {Running: []int{30, 30, 30}}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, p := &fleet{running: map[string]int{}}, &Plan{}
			for _, zone := range zones {
				f.running[zone] = c.initial
			}
			var got []testEvent
			for second := range c.seconds {
				now := clock.Millis(second) * clock.Second
				f.advance(now)
				if second >= c.suspended[0] && second < c.suspended[1] {
					continue
				}
				s := State{Now: now, Pool: testPool, Target: 2 * clock.Second, Demand: underWay(c.load(second)), Reporting: 1}
				// The list shows what runs before the change of this second.
				s.Running = map[string]map[string]int{}
				for zone, n := range f.running {
					s.Running[zone] = map[string]int{"v1": n}
				}
				if c.change != nil {
					c.change(second, &s, f)
				}
				p.Observe(s)
				for _, o := range p.Orders(s) {
					got = append(got, testEvent{Second: second, Zone: o.Zone, Count: o.Count})
					switch {
					case c.answer == nil:
						f.apply(o, now)
					case !c.answer(second, o, f):
						p.Failed(o, now)
					}
				}
			}
			last := testEvent{}
			for _, zone := range zones {
				last.Running = append(last.Running, f.running[zone])
			}
			if diff := cmp.Diff(c.want, append(got, last)); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
		})
	}
}

func TestNeed(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		demand Demand
		slots  int
		target clock.Millis
		most   float64
		least  float64
	}{
		{name: "no demand", slots: 10, target: 2000},
		{name: "slots with a generous target", demand: underWay(90), slots: 10, target: 2000, least: 10, most: 10.4},
		{name: "slots with a short target need more", demand: underWay(90), slots: 10, target: 100, least: 15, most: 17},
		{name: "short prompts", demand: Demand{Requests: 100, Reading: 9}, slots: 10, target: 2000, least: 10, most: 10.8},
		{name: "long prompts need more", demand: Demand{Requests: 20, Reading: 9}, slots: 10, target: 2000, least: 16, most: 18.1},
		{name: "unknown slots", demand: underWay(90), target: 2000},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			if got := c.demand.Need(c.slots, c.target); got < c.least || got > c.most {
				t.Errorf("got a need of %.2f upstreams, want %.2f to %.2f", got, c.least, c.most)
			}
		})
	}
}
