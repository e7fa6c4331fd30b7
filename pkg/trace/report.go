package trace

import (
	"carawayknot.example/carawayknot/pkg/clock"
)

// The names of the measures that a trace may bound.
const (
	MeasureCostOverOracle     = "CostOverOracle"
	MeasureQualityShortfall   = "QualityShortfall"
	MeasureFailed             = "Failed"
	MeasureFailedByZoneMove   = "FailedByZoneMove"
	MeasureRaisedSeconds      = "RaisedSeconds"
	MeasureExposureOverIdeal  = "ExposureOverIdeal"
	MeasureAttemptsPerRequest = "AttemptsPerRequest"
	MeasureAttemptsFailing    = "AttemptsWhileFailing"
	MeasureColdFallOvers      = "ColdFallOvers"
	MeasureFalseFindings      = "FalseFindings"
)

// measures are the measures that a trace may bound.
var measures = []string{
	MeasureCostOverOracle, MeasureQualityShortfall, MeasureFailed, MeasureFailedByZoneMove, MeasureRaisedSeconds,
	MeasureExposureOverIdeal, MeasureAttemptsPerRequest, MeasureAttemptsFailing, MeasureColdFallOvers, MeasureFalseFindings,
}

// Report has the measures of a replay.
type Report struct {
	Trace    string
	Seed     uint64
	Requests int
	// History is false when the replay started without the ratings of before.
	History bool
	// Policies are the router, the oracle and the baselines, on the same requests.
	Policies []PolicyReport
	// Exposures are those of the router.
	Exposures []Exposure
	// ZoneMove is nil when no zone moves in the trace.
	ZoneMove *ZoneMove
	Stated   []StatedOutcome
}

// PolicyReport has the measures of one policy; times are in milliseconds, the cost in millionths.
type PolicyReport struct {
	Name string
	Cost int64
	// CostOverOracle is the cost over the oracle's, on the requests that both answered.
	CostOverOracle float64
	Tasks          []TaskReport
	// QualityShortfall is the most that the mean rating of a task is under its target.
	QualityShortfall float64
	Answered         int
	Refused          int
	Cut              int
	Late             int
	// RefusedOnce counts the refused calls that must not be repeated.
	RefusedOnce        int
	AttemptsPerRequest float64
	// AttemptsWhileFailing is the same for the time in which every upstream refuses its work.
	AttemptsWhileFailing float64
	ColdFallOvers        int
	FirstToken           Latency
	Total                Latency
}

// TaskReport has the measures of one task.
type TaskReport struct {
	Task     string
	Target   float64
	Quality  float64
	Answered int
	Cost     int64
	// Versions counts the answers by version, sorted by version.
	Versions   []VersionCount
	FirstToken Latency
}

// VersionCount is a number of answers of one version.
type VersionCount struct {
	Version string
	Answers int
}

// Latency has percentiles, in milliseconds.
type Latency struct {
	P50, P95, P99, Max clock.Millis
}

// ZoneMove compares the router's replay with a replay of the same trace without the move.
type ZoneMove struct {
	Zone   string
	LeftAt clock.Millis
	BackAt clock.Millis
	// Failed counts the requests that failed and would not have failed without the move.
	Failed int
	// FailedBefore counts the requests that fail without the move as well.
	FailedBefore int
	// RaisedSeconds counts the seconds in which answers took more than half as long again as without the move.
	RaisedSeconds int
	// WorstSecond is the highest mean time of a second over that without the move.
	WorstSecond float64
}

// StatedOutcome is an outcome that the trace states, and what was measured.
type StatedOutcome struct {
	Measure string
	AtMost  float64
	Got     float64
	Met     bool
}
