package dispatch

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// fixedCostTokens is the time that an answer takes regardless of the length of its prompt, in equivalent prompt tokens.
	fixedCostTokens = 4000.0
	// latencyWeight is the weight of the newest sample in a moving average.
	latencyWeight = 0.1
	// firstByteTimeoutFactor is the ratio of the first-byte timeout to the usual time to the first token.
	firstByteTimeoutFactor = 3.0
	// An answer is slow if its first token takes longer than slowFactor times the usual time plus slowMargin milliseconds, which is
	// above the time on the network. Queues make answers of both releases slow, a bad release makes its own several times as long.
	slowFactor              = 3.0
	slowMargin clock.Millis = 30
	// A stream is slow if its gap between tokens exceeds slowGapFactor times the usual one plus slowGapMargin milliseconds. A full
	// engine doubles the gap, a bad release makes it several times as long.
	slowGapFactor              = 2.5
	slowGapMargin clock.Millis = 10
	// longPromptTokens is the length from which a prompt has no first-byte timeout while the usual time of the model is unknown.
	longPromptTokens = 8000
)

// LatencyTracker keeps moving averages of the time to the first token and of the gap between tokens for each model; it is safe for
// concurrent use.
type LatencyTracker struct {
	mu sync.Mutex
	// millisPerToken is the time to the first token by model, divided by the prompt tokens, those ahead of them at the upstream, and
	// fixedCostTokens.
	millisPerToken map[string]float64
	// usualGaps is the gap between tokens by model, in milliseconds.
	usualGaps map[string]float64
}

// RecordFirstToken records the time to the first token of an answer, in milliseconds, to a prompt with this number of tokens.
func (l *LatencyTracker) RecordFirstToken(model string, tokens int, took clock.Millis) {
	perToken := float64(took) / (fixedCostTokens + float64(tokens))
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.millisPerToken[model]
	if !known {
		if l.millisPerToken == nil {
			l.millisPerToken = map[string]float64{}
		}
		old = perToken
	}
	l.millisPerToken[model] = old + latencyWeight*(perToken-old)
}

// ExpectedFirstToken returns the usual time to the first token in milliseconds, and false while there is no sample of the model.
func (l *LatencyTracker) ExpectedFirstToken(model string, tokens int) (clock.Millis, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	perToken, known := l.millisPerToken[model]
	return clock.Millis(perToken * (fixedCostTokens + float64(tokens))), known
}

// ReadingTime returns the usual time to read this number of prompt tokens in milliseconds, or 0 while there is no sample of the model.
func (l *LatencyTracker) ReadingTime(model string, tokens int) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.millisPerToken[model] * float64(tokens)
}

// SlowAfter returns the time to the first token above which an answer is slow, and false while there is no sample of the model.
func (l *LatencyTracker) SlowAfter(model string, tokens int) (clock.Millis, bool) {
	expected, known := l.ExpectedFirstToken(model, tokens)
	return clock.Millis(slowFactor*float64(expected)) + slowMargin, known
}

// IsSlowFirstToken reports whether an answer began far later than usual; it is false while there is no sample of the model.
func (l *LatencyTracker) IsSlowFirstToken(model string, tokens int, took clock.Millis) bool {
	slowAfter, known := l.SlowAfter(model, tokens)
	return known && took > slowAfter
}

// RecordGap records the lower quartile of the gaps between the tokens of a stream, in milliseconds.
func (l *LatencyTracker) RecordGap(model string, gap clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.usualGaps[model]
	if !known {
		if l.usualGaps == nil {
			l.usualGaps = map[string]float64{}
		}
		old = float64(gap)
	}
	l.usualGaps[model] = old + latencyWeight*(float64(gap)-old)
}

// IsSlowGap reports whether the lower quartile of a stream's gaps between tokens, in milliseconds, is far above the usual one.
func (l *LatencyTracker) IsSlowGap(model string, gap clock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	usual, known := l.usualGaps[model]
	return known && float64(gap) > slowGapFactor*usual+float64(slowGapMargin)
}

// FirstByteTimeout returns the time after which an attempt without a first byte is retried elsewhere, in milliseconds and at least
// floor; 0 means no timeout. The upstream reads the tokens ahead first.
func (l *LatencyTracker) FirstByteTimeout(model string, tokens, ahead int, floor clock.Millis) clock.Millis {
	expected, known := l.ExpectedFirstToken(model, tokens+ahead)
	if !known {
		if tokens >= longPromptTokens {
			return 0
		}
		return floor
	}
	return max(floor, clock.Millis(firstByteTimeoutFactor*float64(expected)))
}

// ModelLatency is what was learned of a model, in milliseconds: the time to the first token for each token read before it, and the gap
// between tokens, which is 0 if unknown.
type ModelLatency struct {
	MillisPerToken float64
	Gap            float64
}

// Models returns what was learned, by model.
func (l *LatencyTracker) Models() map[string]ModelLatency {
	l.mu.Lock()
	defer l.mu.Unlock()
	models := make(map[string]ModelLatency, len(l.millisPerToken))
	for model, perToken := range l.millisPerToken {
		models[model] = ModelLatency{MillisPerToken: perToken, Gap: l.usualGaps[model]}
	}
	return models
}
