package tasting

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/enquiry"
)

const (
	// leastBad is how many bad answers of a new release are seen before it is found to be bad.
	leastBad = 3
	// badRise is how much larger the share of bad answers of a bad release is than that of the old one.
	badRise = 0.2
	// lateFactor and lateLeast tell an answer that is far slower than those of the old release; bad releases take four times
	// as long and more.
	lateFactor = 2.5
	lateLeast  = 150.0
	// usualWeight is the weight of the newest answer in the usual time.
	usualWeight = 0.1
)

// Comparison compares the answers of a new release with those of the old one; it is safe for concurrent use.
type Comparison struct {
	mu     sync.Mutex
	routes map[string]*tally
}

// tally counts the answers on one route.
type tally struct {
	old, target count
	// usual is the usual time of the old release, in milliseconds, by what the answers are made by.
	usual map[string]float64
}

type count struct{ answers, bad float64 }

func (c count) share() float64 {
	if c.answers == 0 {
		return 0
	}
	return c.bad / c.answers
}

// Take notes one attempt; model tells answers apart that take different times.
func (k *Comparison) Take(route, model string, onTarget bool, s enquiry.Sample) {
	switch s.Result {
	case enquiry.ResultRefused, enquiry.ResultCancelled:
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.routes[route]
	if t == nil {
		if k.routes == nil {
			k.routes = map[string]*tally{}
		}
		t = &tally{usual: map[string]float64{}}
		k.routes[route] = t
	}
	bad := s.Result != enquiry.ResultComplete
	took := float64(firstOf(s))
	usual, known := t.usual[model]
	if onTarget {
		if known && took > lateFactor*usual+lateLeast {
			bad = true
		}
		t.target.add(bad)
		return
	}
	t.old.add(bad)
	if !bad {
		if !known {
			usual = took
		}
		t.usual[model] = usual + usualWeight*(took-usual)
	}
}

func (c *count) add(bad bool) {
	c.answers++
	if bad {
		c.bad++
	}
}

func firstOf(s enquiry.Sample) clock.Millis {
	if s.FirstToken > 0 {
		return s.FirstToken
	}
	return s.Total
}

// Bad tells whether the new release is found to be bad, on any route or over all of them, and counts its answers.
func (k *Comparison) Bad() (bad bool, answers, failures float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var old, target count
	for _, t := range k.routes {
		old.answers, old.bad = old.answers+t.old.answers, old.bad+t.old.bad
		target.answers, target.bad = target.answers+t.target.answers, target.bad+t.target.bad
		bad = bad || worse(t.old, t.target)
	}
	return bad || worse(old, target), target.answers, target.bad
}

func worse(old, target count) bool {
	return target.bad >= leastBad && target.share() > old.share()+badRise
}
