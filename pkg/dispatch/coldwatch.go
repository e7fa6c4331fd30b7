package dispatch

import (
	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// ColdWatch infers which upstreams are in cold start and how many requests the warm ones bear.
// It needs no announcement: reports, refusals and times to the first token are enough.
// It is used by the control thread alone.
type ColdWatch struct {
	upstreams map[string]*warmth
	// usual has the usual time to the first token by what was asked for, over all warm upstreams.
	usual map[string]float64
	// early is true once samples come with the first token, so that slow answers need not count again at their end.
	early bool
}

// TakeLoad takes in a load report that was read at the time.
func (w *ColdWatch) TakeLoad(name string, incarnation int64, r backoffice.LoadReport, at clock.Millis) {
	u := w.upstream(name)
	if incarnation > u.incarnation {
		u.restart(incarnation)
	}
	u.takeReport(&r, at)
}

// TakeSample takes in what one attempt at an upstream showed.
func (w *ColdWatch) TakeSample(s request.Sample) {
	if s.Upstream == "" || s.Result == request.ResultCancelled {
		return
	}
	u := w.upstream(s.Upstream)
	key := string(s.Version)
	if key == "" {
		key = s.Upstream
	}
	usual := w.usual[key]
	switch s.Result {
	case request.ResultStarted:
		w.early = true
		u.takeStart(float64(s.FirstToken), usual, s.At)
		return
	case request.ResultComplete:
		u.takeAnswer(float64(s.FirstToken), usual, s.At, w.early)
	default:
		u.takeFailure(s.At)
		return
	}
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
	return min(max(1, int(u.limit)), u.max())
}

// WarmRoom is WarmLimit, or more while the upstream reports to be far from full: traffic comes unevenly over
// the instances, and a warm upstream that gets a little too much refuses it and lowers the limit.
func (w *ColdWatch) WarmRoom(name string) int {
	limit := w.WarmLimit(name)
	if u := w.upstreams[name]; u != nil && u.reported && float64(u.inFlight) < halfFull*float64(limit) {
		return int(overbooking * float64(limit))
	}
	return limit
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
