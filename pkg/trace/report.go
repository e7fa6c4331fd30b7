package trace

import (
	"carawayknot.example/carawayknot/pkg/clock"
)

// Names of the measures of the router policy that a trace may bound.
const (
	// MeasureCostOverOracle is the cost divided by that of the oracle.
	MeasureCostOverOracle = "CostOverOracle"
	// MeasureQualityShortfall is the largest shortfall of a task's mean rating from its target.
	MeasureQualityShortfall = "QualityShortfall"
	// MeasureFailed is the number of requests without a complete answer before the deadline.
	MeasureFailed = "Failed"
	// MeasureFailedByZoneMove is the number of requests that fail only because of a zone evacuation.
	MeasureFailedByZoneMove = "FailedByZoneMove"
	// MeasureRaisedSeconds is the number of seconds whose mean latency is raised by a zone evacuation.
	MeasureRaisedSeconds = "RaisedSeconds"
	// MeasureExposureOverIdeal is the highest Exposure.OverIdeal.
	MeasureExposureOverIdeal = "ExposureOverIdeal"
	// MeasureAttemptsPerRequest is the mean number of sends per request.
	MeasureAttemptsPerRequest = "AttemptsPerRequest"
	// MeasureAttemptsWhileFailing is the mean number of sends per request while every upstream refuses all requests.
	MeasureAttemptsWhileFailing = "AttemptsWhileFailing"
	// MeasureColdFallOvers is the number of upstream crashes by overload during cold start.
	MeasureColdFallOvers = "ColdFallOvers"
	// MeasureFalseFindings is the number of detections of versions that had not degraded.
	MeasureFalseFindings = "FalseFindings"
)

// measures lists the names that OutcomeBound.Measure accepts.
var measures = []string{
	MeasureCostOverOracle, MeasureQualityShortfall, MeasureFailed, MeasureFailedByZoneMove, MeasureRaisedSeconds,
	MeasureExposureOverIdeal, MeasureAttemptsPerRequest, MeasureAttemptsWhileFailing, MeasureColdFallOvers, MeasureFalseFindings,
}

// Report has the measures of a replay for all policies.
type Report struct {
	Trace    string
	Seed     uint64
	Requests int
	// History is false if the replay started without the ratings from before the trace.
	History bool
	// Policies has the router, the oracle and the baselines, in this order, on the same requests.
	Policies []PolicyReport
	// Exposures has the exposures to degraded versions under the router policy.
	Exposures []Exposure
	// ZoneMove is nil if the trace has no zone events.
	ZoneMove *ZoneMove
	// Stated has the results for the bounds that the trace states.
	Stated []OutcomeResult
}

// PolicyReport has the measures of one policy, with times in milliseconds and the cost in micros.
type PolicyReport struct {
	Name string
	Cost int64
	// CostOverOracle is the cost divided by that of the oracle, over the requests that both answered.
	CostOverOracle float64
	Tasks          []TaskReport
	// QualityShortfall is the largest shortfall of a task's mean rating from its target, at least 0.
	QualityShortfall float64
	// Answered counts complete answers, and Late those of them after the deadline.
	Answered int
	// Refused counts the requests that did not run.
	Refused int
	// Cut counts the requests that may have run but got no complete answer.
	Cut  int
	Late int
	// RefusedOnce counts the refused requests that are not idempotent.
	RefusedOnce int
	// AttemptsPerRequest is the mean number of sends per request, with each step of a cascade as a request of its own.
	AttemptsPerRequest float64
	// AttemptsWhileFailing is AttemptsPerRequest over the time in which every upstream refuses all requests.
	AttemptsWhileFailing float64
	// ColdFallOvers counts the crashes of upstreams by overload during cold start.
	ColdFallOvers int
	// FirstToken has the times to first token of chat completions.
	FirstToken Latency
	Total      Latency
}

// TaskReport has the measures of one task under one policy.
type TaskReport struct {
	Task string
	// Target is the mean rating that the profile demands, and Quality the one that the answers reached.
	Target   float64
	Quality  float64
	Answered int
	Cost     int64
	// Versions counts the answers by version, sorted by version.
	Versions   []VersionCount
	FirstToken Latency
}

// VersionCount is the number of answers of one version.
type VersionCount struct {
	Version string
	Answers int
}

// Latency has percentiles and the maximum of a latency in milliseconds.
type Latency struct {
	P50, P95, P99, Max clock.Millis
}

// ZoneMove has the effects of the evacuation and return of a zone, as differences to a replay without zone events.
type ZoneMove struct {
	Zone string
	// LeftAt and BackAt are the times in milliseconds at which the evacuation began and the return was complete.
	LeftAt clock.Millis
	BackAt clock.Millis
	// Failed counts the requests that failed but succeed without the evacuation.
	Failed int
	// FailedBefore counts the requests that fail without the evacuation too.
	FailedBefore int
	// RaisedSeconds counts the seconds of arrival whose mean latency is more than 1.5 times that without the evacuation.
	RaisedSeconds int
	// WorstSecond is the highest ratio of the mean latency of a second to that without the evacuation.
	WorstSecond float64
}

// OutcomeResult is a bound that the trace states, with the measured value.
type OutcomeResult struct {
	Measure string
	AtMost  float64
	Got     float64
	Met     bool
}
