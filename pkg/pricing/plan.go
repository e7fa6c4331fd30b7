package pricing

import (
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Step is one version that a plan tries.
type Step struct {
	Version *catalogue.Version
	// Threshold is the rating from which on the answer of this step is good enough; the last step has none.
	Threshold float64
}

// Plan is one version, or a cascade of them.
type Plan struct {
	Steps []Step
	// Quality is the expected rating, by the lower confidence bound.
	Quality float64
	// Cost is the expected cost, and MostCost the cost when every step is taken and gives the longest answer.
	Cost     float64
	MostCost float64
	// Time is the expected time to the end of the answer, in milliseconds.
	Time clock.Millis
}

// Limits are what a plan must keep to.
type Limits struct {
	// Quality is the least expected rating.
	Quality float64
	// MaxCost bounds the cost of a request; 0 is no bound.
	MaxCost catalogue.Micros
	// Time bounds the expected time, in milliseconds; 0 is no bound.
	Time        clock.Millis
	InputTokens float64
	// MaxTokens bounds the answer; 0 leaves it to the engine.
	MaxTokens int
	// Cascade allows plans of two steps.
	Cascade bool
}

// Single returns the plan of one version.
func Single(e *Estimate, l *Limits) Plan {
	return Plan{
		Steps:    []Step{{Version: e.Version}},
		Quality:  e.Lower,
		Cost:     price(e, l.InputTokens, e.Tokens),
		MostCost: price(e, l.InputTokens, mostTokens(e, l)),
		Time:     e.Time,
	}
}

func price(e *Estimate, inputTokens, outputTokens float64) float64 {
	return (inputTokens*float64(e.Version.InputCost) + outputTokens*float64(e.Version.OutputCost)) / 1e6
}

func mostTokens(e *Estimate, l *Limits) float64 {
	if l.MaxTokens > 0 {
		return float64(l.MaxTokens)
	}
	return e.Tokens
}

// fits tells whether the plan keeps to cost and time.
func (l *Limits) fits(p *Plan) bool {
	return l.affords(p) && (l.Time <= 0 || p.Time <= l.Time)
}

func (l *Limits) affords(p *Plan) bool {
	return l.MaxCost <= 0 || p.MostCost <= float64(l.MaxCost)
}

// Cheapest returns the cheapest plan that meets the quality and fits, or else the best one that fits the cost;
// met tells which, and the plan is nil when nothing fits the cost.
func Cheapest(from []Estimate, l *Limits) (best *Plan, met bool) {
	var meets, fallback *Plan
	consider := func(p Plan) {
		if l.fits(&p) && p.Quality >= l.Quality && (meets == nil || p.Cost < meets.Cost) {
			meets = &p
		}
	}
	for i := range from {
		p := Single(&from[i], l)
		consider(p)
		if l.affords(&p) && (fallback == nil || l.better(&p, fallback)) {
			fallback = &p
		}
	}
	if l.Cascade {
		eachCascade(from, l, consider)
	}
	if meets != nil {
		return meets, true
	}
	return fallback, false
}

// better prefers a plan that fits the time and then the higher quality.
func (l *Limits) better(p, than *Plan) bool {
	if fits := l.fits(p); fits != l.fits(than) {
		return fits
	}
	return p.Quality > than.Quality
}
