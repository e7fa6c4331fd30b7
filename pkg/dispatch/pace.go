package dispatch

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// paceBase is added to the length of each prompt, in tokens, for what an answer takes before its prompt is read.
	paceBase = 4000.0
	// paceWeight is the weight of the newest answer in a model's pace.
	paceWeight = 0.1
	// paceSpread is how far above the usual time the beginning of an answer may be before it is asked for elsewhere.
	paceSpread = 3.0
	// slowSpread and slowLeast tell an answer that is slow for its prompt; the last one is in milliseconds. Queues make answers
	// late by some hundred milliseconds, bad releases take several times as long.
	slowSpread              = 3.0
	slowLeast  clock.Millis = 100
	// dragSpread and dragLeast tell a stream whose pauses are longer than usual; the last one is in milliseconds. Full engines
	// double them, bad releases make them several times as long.
	dragSpread              = 2.5
	dragLeast  clock.Millis = 10
	// longPrompt is the length from which on, in tokens, nothing is asked for elsewhere while no pace is known.
	longPrompt = 8000
)

// Paces learns how long models take to begin their answers; it is safe for concurrent use.
type Paces struct {
	mu     sync.Mutex
	models map[string]float64
	gaps   map[string]float64
}

// Take notes the time to the beginning of an answer to a prompt of so many tokens.
func (p *Paces) Take(model string, tokens int, took clock.Millis) {
	perToken := float64(took) / (paceBase + float64(tokens))
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.models[model]
	if !known {
		if p.models == nil {
			p.models = map[string]float64{}
		}
		old = perToken
	}
	p.models[model] = old + paceWeight*(perToken-old)
}

// Expect returns the time in which the model usually begins its answer, and whether that is known.
func (p *Paces) Expect(model string, tokens int) (clock.Millis, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	perToken, known := p.models[model]
	return clock.Millis(perToken * (paceBase + float64(tokens))), known
}

// Slow tells whether an answer began far later than usual.
func (p *Paces) Slow(model string, tokens int, took clock.Millis) bool {
	expected, known := p.Expect(model, tokens)
	return known && float64(took) > slowSpread*float64(expected)+float64(slowLeast)
}

// TakeGap notes a short pause of a stream.
func (p *Paces) TakeGap(model string, gap clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.gaps[model]
	if !known {
		if p.gaps == nil {
			p.gaps = map[string]float64{}
		}
		old = float64(gap)
	}
	p.gaps[model] = old + paceWeight*(float64(gap)-old)
}

// Drags tells whether the short pauses of a stream are far longer than usual.
func (p *Paces) Drags(model string, gap clock.Millis) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual, known := p.gaps[model]
	return known && float64(gap) > dragSpread*usual+float64(dragLeast)
}

// Limit returns the time after which the beginning of an answer is asked for elsewhere, at least floor; 0 is no limit.
func (p *Paces) Limit(model string, tokens int, floor clock.Millis) clock.Millis {
	expected, known := p.Expect(model, tokens)
	if !known {
		if tokens >= longPrompt {
			return 0
		}
		return floor
	}
	return max(floor, clock.Millis(paceSpread*float64(expected)))
}
