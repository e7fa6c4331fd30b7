package trace

import "context"

// Options choose what a replay runs.
type Options struct {
	// Baselines adds the policies to compare with.
	Baselines bool
	// NoHistory starts without the ratings that the trace says were in before.
	NoHistory bool
	// Records, if set, is given the records of the router in the order in which requests ended.
	Records func([]Record)
}

// Replay runs the trace through the request filters of several instances on a manual clock and measures the outcome.
// The same trace and options always give the same report.
func Replay(ctx context.Context, t *Trace, o Options) (*Report, error) {
	policies := []*policy{router(), oracle()}
	if o.Baselines {
		policies = append(policies, baselines()...)
	}
	runs := make([]*run, len(policies))
	for i, p := range policies {
		runs[i] = newRun(t, p, !o.NoHistory)
		if err := runs[i].replay(ctx); err != nil {
			return nil, err
		}
	}
	if o.Records != nil {
		o.Records(runs[0].records)
	}
	rep := &Report{Trace: t.Name, Seed: t.Seed, Requests: len(t.Requests), History: !o.NoHistory}
	for _, r := range runs {
		p := r.measure()
		p.CostOverOracle = costOver(r, runs[1])
		rep.Policies = append(rep.Policies, p)
	}
	rep.Exposures = runs[0].exposures()
	if err := rep.zoneMove(ctx, t, runs[0], o); err != nil {
		return nil, err
	}
	rep.judge(t, runs[0])
	return rep, nil
}

// zoneMove replays the trace once more without the moves of zones, and compares.
func (rep *Report) zoneMove(ctx context.Context, t *Trace, moved *run, o Options) error {
	still := t.withoutMoves()
	if len(still.Events) == len(t.Events) {
		return nil
	}
	r := newRun(still, router(), !o.NoHistory)
	if err := r.replay(ctx); err != nil {
		return err
	}
	rep.ZoneMove = compareMove(moved, r)
	return nil
}

// judge holds the measures against the outcomes that the trace states.
func (rep *Report) judge(t *Trace, r *run) {
	for _, s := range t.Stated {
		got := rep.value(s.Measure, r)
		rep.Stated = append(rep.Stated, StatedOutcome{Measure: s.Measure, AtMost: s.AtMost, Got: got, Met: got <= s.AtMost})
	}
}

func (rep *Report) value(measure string, r *run) float64 {
	p := &rep.Policies[0]
	switch measure {
	case MeasureCostOverOracle:
		return p.CostOverOracle
	case MeasureQualityShortfall:
		return p.QualityShortfall
	case MeasureFailed:
		return float64(p.Refused + p.Cut + p.Late)
	case MeasureFailedByZoneMove:
		return float64(rep.zone().Failed)
	case MeasureRaisedSeconds:
		return float64(rep.zone().RaisedSeconds)
	case MeasureAttemptsPerRequest:
		return p.AttemptsPerRequest
	case MeasureAttemptsFailing:
		return p.AttemptsWhileFailing
	case MeasureColdFallOvers:
		return float64(p.ColdFallOvers)
	case MeasureExposureOverIdeal:
		worst := 0.0
		for i := range rep.Exposures {
			worst = max(worst, rep.Exposures[i].OverIdeal)
		}
		return worst
	case MeasureFalseFindings:
		return float64(r.falseFindings())
	}
	return 0
}

// zone returns the move of a zone, or an empty one.
func (rep *Report) zone() *ZoneMove {
	if rep.ZoneMove == nil {
		return &ZoneMove{}
	}
	return rep.ZoneMove
}

// falseFindings counts the findings about versions that had not turned bad.
func (r *run) falseFindings() int {
	n := 0
	for _, f := range r.findings {
		turned, bad := r.world.turned[f.suspect.Version]
		if !bad || f.at < turned {
			n++
		}
	}
	return n
}
