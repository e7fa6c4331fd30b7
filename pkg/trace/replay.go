package trace

import "context"

// Options selects the policies, the initial knowledge and the outputs of a replay.
type Options struct {
	// Baselines adds the baseline policies to the router and the oracle.
	Baselines bool
	// NoHistory starts without the ratings from before the trace and without verdicts on the upstreams.
	NoHistory bool
	// Records, if set, receives the records of the router policy in the order in which the requests ended.
	Records func([]Record)
}

// Replay runs the trace through the request filters of several instances on a manual clock, once per policy, and returns the
// measures, which are always the same for the same trace and options.
func Replay(ctx context.Context, t *Trace, o Options) (*Report, error) {
	policies := []*policy{routerPolicy(), oraclePolicy()}
	if o.Baselines {
		policies = append(policies, baselinePolicies()...)
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
		p := r.policyReport()
		p.CostOverOracle = costRatio(r, runs[1])
		rep.Policies = append(rep.Policies, p)
	}
	rep.Exposures = runs[0].exposures()
	if err := rep.measureZoneMove(ctx, t, runs[0], o); err != nil {
		return nil, err
	}
	rep.checkStated(t, runs[0])
	return rep, nil
}

// measureZoneMove replays the trace once more without its zone events, as a control, and compares the two runs.
func (rep *Report) measureZoneMove(ctx context.Context, t *Trace, moved *run, o Options) error {
	controlTrace := t.withoutZoneEvents()
	if len(controlTrace.Events) == len(t.Events) {
		return nil
	}
	control := newRun(controlTrace, routerPolicy(), !o.NoHistory)
	if err := control.replay(ctx); err != nil {
		return err
	}
	rep.ZoneMove = compareZoneMove(moved, control)
	return nil
}

// checkStated compares the measures with the bounds that the trace states.
func (rep *Report) checkStated(t *Trace, r *run) {
	for _, s := range t.Stated {
		got := rep.measureValue(s.Measure, r)
		rep.Stated = append(rep.Stated, OutcomeResult{Measure: s.Measure, AtMost: s.AtMost, Got: got, Met: got <= s.AtMost})
	}
}

func (rep *Report) measureValue(measure string, r *run) float64 {
	p := &rep.Policies[0]
	switch measure {
	case MeasureCostOverOracle:
		return p.CostOverOracle
	case MeasureQualityShortfall:
		return p.QualityShortfall
	case MeasureFailed:
		return float64(p.Refused + p.Cut + p.Late)
	case MeasureFailedByZoneMove:
		return float64(rep.zoneMoveOrZero().Failed)
	case MeasureRaisedSeconds:
		return float64(rep.zoneMoveOrZero().RaisedSeconds)
	case MeasureAttemptsPerRequest:
		return p.AttemptsPerRequest
	case MeasureAttemptsWhileFailing:
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
		return float64(r.falsePositives())
	}
	return 0
}

// zoneMoveOrZero returns the measures of the zone evacuation, or zero values if the trace has none.
func (rep *Report) zoneMoveOrZero() *ZoneMove {
	if rep.ZoneMove == nil {
		return &ZoneMove{}
	}
	return rep.ZoneMove
}

// falsePositives counts the detections of versions without an earlier quality shift.
func (r *run) falsePositives() int {
	n := 0
	for _, d := range r.detections {
		shiftedAt, shifted := r.env.shiftedAt[d.suspect.Version]
		if !shifted || d.at < shiftedAt {
			n++
		}
	}
	return n
}
