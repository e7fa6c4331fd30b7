package trace

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// longestTime bounds the times that are counted, in milliseconds.
	longestTime = 10 * 60 * int64(clock.Second)
	// histogramDigits is the precision of the percentiles, in significant digits.
	histogramDigits = 3
)

// times collects latencies.
type times struct{ h *hdrhistogram.Histogram }

func newTimes() times { return times{h: hdrhistogram.New(1, longestTime, histogramDigits)} }

func (t times) add(d clock.Millis) { _ = t.h.RecordValue(min(longestTime, max(1, int64(d)))) }

func (t times) latency() Latency {
	at := func(q float64) clock.Millis { return clock.Millis(t.h.ValueAtQuantile(q)) }
	return Latency{P50: at(50), P95: at(95), P99: at(99), Max: clock.Millis(t.h.Max())}
}

// measure adds up the records of the run.
func (r *run) measure() PolicyReport {
	p := PolicyReport{Name: r.policy.name, AttemptsPerRequest: r.attempts(0, r.trace.Duration)}
	first, total := newTimes(), newTimes()
	for i := range r.records {
		rec := &r.records[i]
		p.Cost += int64(rec.Cost)
		p.count(rec, r.requests[rec.ID].Once)
		if rec.Outcome == request.Ran {
			total.add(rec.Total)
		}
		if rec.Outcome == request.Ran && rec.Profile != "" {
			first.add(rec.FirstToken)
		}
	}
	p.FirstToken, p.Total = first.latency(), total.latency()
	p.AttemptsWhileFailing = r.attemptsWhileFailing()
	for _, e := range r.world.engines {
		p.ColdFallOvers += e.fallOvers
	}
	p.Tasks = r.tasks()
	for _, t := range p.Tasks {
		p.QualityShortfall = max(p.QualityShortfall, t.Target-t.Quality)
	}
	return p
}

// attempts returns the sends over the steps that were sent at all, from start to end; a cascade has several steps.
func (r *run) attempts(start, end clock.Millis) float64 {
	type step struct {
		request string
		version catalogue.VersionID
	}
	steps, sends := map[step]bool{}, 0
	for _, s := range r.sends {
		if s.at >= start && s.at < end {
			sends++
			steps[step{s.request, s.version}] = true
		}
	}
	return over(sends, len(steps))
}

// attemptsWhileFailing returns the sends over the steps while every upstream refuses its work.
func (r *run) attemptsWhileFailing() float64 {
	start, end := r.trace.Duration, r.trace.Duration
	for _, e := range r.trace.Events {
		switch e.Kind {
		case EventFail:
			start = e.At
		case EventHeal:
			end = e.At
		}
	}
	return r.attempts(start, end)
}

func (p *PolicyReport) count(rec *Record, once bool) {
	switch {
	case rec.Outcome == request.Ran:
		p.Answered++
	case rec.Outcome == request.NotRun:
		p.Refused++
		if once {
			p.RefusedOnce++
		}
	default:
		p.Cut++
	}
	if rec.Late {
		p.Late++
	}
}

// tasks adds up the answers by task.
func (r *run) tasks() []TaskReport {
	byTask := map[string]*taskSum{}
	for i := range r.records {
		rec := &r.records[i]
		if rec.Version == "" {
			continue
		}
		profile := r.world.config.Profiles[rec.Profile]
		s := byTask[profile.Task]
		if s == nil {
			s = &taskSum{report: TaskReport{Task: profile.Task, Target: profile.Quality}, first: newTimes(), versions: map[string]int{}}
			byTask[profile.Task] = s
		}
		s.add(rec)
	}
	var out []TaskReport
	for _, s := range byTask {
		out = append(out, s.done())
	}
	slices.SortFunc(out, func(a, b TaskReport) int { return cmp.Compare(a.Task, b.Task) })
	return out
}

type taskSum struct {
	report   TaskReport
	first    times
	versions map[string]int
}

func (s *taskSum) add(rec *Record) {
	s.report.Answered++
	s.report.Cost += int64(rec.Cost)
	s.report.Quality += rec.Score
	s.versions[string(rec.Version)]++
	s.first.add(rec.FirstToken)
}

func (s *taskSum) done() TaskReport {
	s.report.Quality /= float64(s.report.Answered)
	s.report.FirstToken = s.first.latency()
	for v, n := range s.versions {
		s.report.Versions = append(s.report.Versions, VersionCount{Version: v, Answers: n})
	}
	slices.SortFunc(s.report.Versions, func(a, b VersionCount) int { return cmp.Compare(a.Version, b.Version) })
	return s.report
}

// costOver returns the cost of a over the cost of b, on the requests that both answered.
func costOver(a, b *run) float64 {
	costs := map[string]int64{}
	for i := range b.records {
		if rec := &b.records[i]; rec.Version != "" {
			costs[rec.ID] = int64(rec.Cost)
		}
	}
	var sumA, sumB int64
	for i := range a.records {
		rec := &a.records[i]
		if cost, both := costs[rec.ID]; both && rec.Version != "" {
			sumA += int64(rec.Cost)
			sumB += cost
		}
	}
	if sumB == 0 {
		return 0
	}
	return float64(sumA) / float64(sumB)
}
