package pricing

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Step is one version that a plan tries, with the rating that its answer must reach.
type Step struct {
	Version *catalogue.Version
	// Threshold is the lowest rating at which the answer is accepted; answers of the last step are not rated.
	Threshold float64
}

// Plan is a single version or a cascade, with its expected quality, cost and latency.
type Plan struct {
	Steps []Step
	// Quality is the lower confidence bound of the expected rating.
	Quality float64
	// Cost is the expected cost in micros. WorstCaseCost is the cost when every step runs and gives its longest answer.
	Cost          float64
	WorstCaseCost float64
	// Time is the expected time to the end of the answer, in milliseconds.
	Time clock.Millis
}

// Limits are the constraints on the plan of one request.
type Limits struct {
	// Quality is the lowest acceptable expected rating.
	Quality float64
	// MaxCost bounds the worst-case cost of the request; 0 means no bound.
	MaxCost catalogue.Micros
	// Time bounds the expected time, in milliseconds; 0 means no bound.
	Time        clock.Millis
	InputTokens float64
	// MaxTokens bounds the length of the answer; 0 leaves it to the engine.
	MaxTokens int
	// Cascade permits plans of two steps.
	Cascade bool
}

// SingleStep returns the plan that runs only the version of e.
func SingleStep(e *Estimate, l *Limits) Plan {
	return Plan{
		Steps:         []Step{{Version: e.Version}},
		Quality:       e.Lower,
		Cost:          tokenCost(e, l.InputTokens, e.Tokens),
		WorstCaseCost: tokenCost(e, l.InputTokens, maxOutputTokens(e, l)),
		Time:          e.Time,
	}
}

func tokenCost(e *Estimate, inputTokens, outputTokens float64) float64 {
	return (inputTokens*float64(e.Version.InputCost) + outputTokens*float64(e.Version.OutputCost)) / 1e6
}

func maxOutputTokens(e *Estimate, l *Limits) float64 {
	if l.MaxTokens > 0 {
		return float64(l.MaxTokens)
	}
	return e.Tokens
}

// fits reports whether the plan is within the cost and time limits.
func (l *Limits) fits(p *Plan) bool {
	return l.withinCost(p) && (l.Time <= 0 || p.Time <= l.Time)
}

func (l *Limits) withinCost(p *Plan) bool {
	return l.MaxCost <= 0 || p.WorstCaseCost <= float64(l.MaxCost)
}

// Cheapest returns the cheapest plan within the limits and true, else the best single version within the cost and false; the plan
// is nil when no version is within the cost.
func Cheapest(estimates []Estimate, l *Limits) (best *Plan, met bool) {
	var cheapest, fallback *Plan
	consider := func(p Plan) {
		if l.fits(&p) && p.Quality >= l.Quality && (cheapest == nil || p.Cost < cheapest.Cost) {
			cheapest = &p
		}
	}
	for i := range estimates {
		p := SingleStep(&estimates[i], l)
		consider(p)
		if l.withinCost(&p) && (fallback == nil || l.better(&p, fallback)) {
			fallback = &p
		}
	}
	if l.Cascade {
		eachCascade(estimates, l, consider)
	}
	if cheapest != nil {
		return cheapest, true
	}
	return fallback, false
}

// better reports whether p is preferred to other: a plan within the time limit comes first, then the higher quality.
func (l *Limits) better(p, other *Plan) bool {
	if fits := l.fits(p); fits != l.fits(other) {
		return fits
	}
	return p.Quality > other.Quality
}
