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
	// maxLatencyMillis is the highest latency that the histograms hold; longer ones count as this value.
	maxLatencyMillis = 10 * 60 * int64(clock.Second)
	// histogramDigits is the number of significant digits of the percentiles.
	histogramDigits = 3
)

// latencyHistogram records latencies in milliseconds.
type latencyHistogram struct{ h *hdrhistogram.Histogram }

func newLatencyHistogram() latencyHistogram {
	return latencyHistogram{h: hdrhistogram.New(1, maxLatencyMillis, histogramDigits)}
}

func (lh latencyHistogram) record(d clock.Millis) {
	_ = lh.h.RecordValue(min(maxLatencyMillis, max(1, int64(d))))
}

func (lh latencyHistogram) percentiles() Latency {
	at := func(q float64) clock.Millis { return clock.Millis(lh.h.ValueAtQuantile(q)) }
	return Latency{P50: at(50), P95: at(95), P99: at(99), Max: clock.Millis(lh.h.Max())}
}

// policyReport summarizes the records of the run.
func (r *run) policyReport() PolicyReport {
	p := PolicyReport{Name: r.policy.name, AttemptsPerRequest: r.attemptsPerStep(0, r.trace.Duration)}
	first, total := newLatencyHistogram(), newLatencyHistogram()
	for i := range r.records {
		rec := &r.records[i]
		p.Cost += int64(rec.Cost)
		p.countOutcome(rec, r.requests[rec.ID].Once)
		if rec.Outcome == request.Ran {
			total.record(rec.Total)
		}
		if rec.Outcome == request.Ran && rec.Profile != "" {
			first.record(rec.FirstToken)
		}
	}
	p.FirstToken, p.Total = first.percentiles(), total.percentiles()
	p.AttemptsWhileFailing = r.attemptsWhileFailing()
	for _, e := range r.env.engines {
		p.ColdFallOvers += e.coldCrashes
	}
	p.Tasks = r.taskReports()
	for _, t := range p.Tasks {
		p.QualityShortfall = max(p.QualityShortfall, t.Target-t.Quality)
	}
	return p
}

// attemptsPerStep returns the attempts from start to end divided by the distinct steps among them, where a step is one
// version of one request; a cascade has several.
func (r *run) attemptsPerStep(start, end clock.Millis) float64 {
	type step struct {
		request string
		version catalogue.VersionID
	}
	steps, sends := map[step]bool{}, 0
	for _, a := range r.attempts {
		if a.at >= start && a.at < end {
			sends++
			steps[step{a.request, a.version}] = true
		}
	}
	return ratio(sends, len(steps))
}

// attemptsWhileFailing returns the attempts per step while every upstream refuses all requests.
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
	return r.attemptsPerStep(start, end)
}

func (p *PolicyReport) countOutcome(rec *Record, once bool) {
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

// taskReports summarizes the answers by task.
func (r *run) taskReports() []TaskReport {
	byTask := map[string]*taskTotals{}
	for i := range r.records {
		rec := &r.records[i]
		if rec.Version == "" {
			continue
		}
		profile := r.env.config.Profiles[rec.Profile]
		s := byTask[profile.Task]
		if s == nil {
			s = &taskTotals{report: TaskReport{Task: profile.Task, Target: profile.Quality}, first: newLatencyHistogram(), versions: map[string]int{}}
			byTask[profile.Task] = s
		}
		s.add(rec)
	}
	var out []TaskReport
	for _, s := range byTask {
		out = append(out, s.finish())
	}
	slices.SortFunc(out, func(a, b TaskReport) int { return cmp.Compare(a.Task, b.Task) })
	return out
}

type taskTotals struct {
	report   TaskReport
	first    latencyHistogram
	versions map[string]int
}

func (s *taskTotals) add(rec *Record) {
	s.report.Answered++
	s.report.Cost += int64(rec.Cost)
	s.report.Quality += rec.Score
	s.versions[string(rec.Version)]++
	s.first.record(rec.FirstToken)
}

func (s *taskTotals) finish() TaskReport {
	s.report.Quality /= float64(s.report.Answered)
	s.report.FirstToken = s.first.percentiles()
	for v, n := range s.versions {
		s.report.Versions = append(s.report.Versions, VersionCount{Version: v, Answers: n})
	}
	slices.SortFunc(s.report.Versions, func(a, b VersionCount) int { return cmp.Compare(a.Version, b.Version) })
	return s.report
}

// costRatio returns the cost of a divided by the cost of b, over the requests that both answered.
func costRatio(a, b *run) float64 {
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
