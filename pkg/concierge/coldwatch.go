package concierge

import (
	"cmp"
	"slices"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/enquiry"
	"carawayknot.example/carawayknot/pkg/platform"
)

// ColdWatch infers which upstreams are in cold start and how many requests the warm ones bear.
// It needs no announcement: reports, refusals and times to the first token are enough.
// It is used by the control thread alone.
type ColdWatch struct {
	upstreams map[string]*warmth
	// usual has the usual time to the first token by what was asked for, over all warm upstreams.
	usual map[string]float64
}

// Mark is what an instance knows of the cold start of an upstream, for the other instances.
// Of two marks the one with the later incarnation and episode holds; within an episode warm goes before cold.
type Mark struct {
	Upstream    string
	Incarnation int64
	// Episode counts the cold starts of an incarnation.
	Episode int64
	Warm    bool
}

// TakeLoad takes in a load report that was read at the time.
func (w *ColdWatch) TakeLoad(name string, incarnation int64, r platform.LoadReport, at clock.Millis) {
	u := w.upstream(name)
	if incarnation > u.incarnation {
		u.restart(incarnation)
	}
	u.takeReport(&r, at)
}

// TakeSample takes in what one attempt at an upstream showed.
func (w *ColdWatch) TakeSample(s enquiry.Sample) {
	if s.Upstream == "" || s.Result == enquiry.ResultCancelled {
		return
	}
	u := w.upstream(s.Upstream)
	if s.Result != enquiry.ResultComplete {
		u.takeFailure(s.At)
		return
	}
	key := string(s.Version)
	if key == "" {
		key = s.Upstream
	}
	usual := w.usual[key]
	u.takeAnswer(float64(s.FirstToken), usual, s.At)
	if !u.cold {
		w.learn(key, usual, float64(s.FirstToken))
	}
}

func (w *ColdWatch) learn(key string, usual, firstToken float64) {
	if w.usual == nil {
		w.usual = map[string]float64{}
	}
	if usual == 0 {
		usual = firstToken
	}
	w.usual[key] = usual + usualWeight*(firstToken-usual)
}

// Cold tells whether the upstream is taken to be in cold start; an unknown one is.
func (w *ColdWatch) Cold(name string) bool {
	u := w.upstreams[name]
	return u == nil || u.cold
}

// WarmLimit returns how many requests the upstream bears at once over all instances when it is warm.
func (w *ColdWatch) WarmLimit(name string) int {
	u := w.upstreams[name]
	if u == nil {
		return firstWarmLimit
	}
	return max(1, int(u.limit))
}

// Marks returns what is known of all upstreams, sorted by name.
func (w *ColdWatch) Marks() []Mark {
	marks := make([]Mark, 0, len(w.upstreams))
	for name, u := range w.upstreams {
		marks = append(marks, Mark{Upstream: name, Incarnation: u.incarnation, Episode: u.episode, Warm: !u.cold})
	}
	slices.SortFunc(marks, func(a, b Mark) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return marks
}

// TakeMarks takes in what another instance knows.
func (w *ColdWatch) TakeMarks(marks []Mark) {
	for _, m := range marks {
		w.upstream(m.Upstream).takeMark(m)
	}
}

// Forget drops an upstream that is gone.
func (w *ColdWatch) Forget(name string) {
	delete(w.upstreams, name)
	delete(w.usual, name)
}

func (w *ColdWatch) upstream(name string) *warmth {
	u := w.upstreams[name]
	if u == nil {
		if w.upstreams == nil {
			w.upstreams = map[string]*warmth{}
		}
		u = &warmth{cold: true, limit: firstWarmLimit}
		w.upstreams[name] = u
	}
	return u
}
