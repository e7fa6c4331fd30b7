package tasting

import (
	"sync"

	"carawayknot.example/carawayknot/pkg/enquiry"
)

const (
	// leastFailed and leastSlow are how many failed or slow answers of a new release are seen before it is found to be bad;
	// queues make single answers slow, so that more of those are needed.
	leastFailed = 3
	leastSlow   = 5
	// failedRise and slowRise are how much larger the share of such answers is than that of the old release; bad releases
	// fail or are slow on a third of their requests and more.
	failedRise = 0.2
	slowRise   = 0.25
)

// Comparison compares the answers of a new release with those of the old one; it is safe for concurrent use.
type Comparison struct {
	mu     sync.Mutex
	routes map[string]*tally
}

// tally counts the answers on one route.
type tally struct{ old, target count }

type count struct{ answers, failed, slow float64 }

// Take notes one attempt; slow tells that its answer was far later than usual for its prompt.
func (k *Comparison) Take(route string, onTarget bool, result enquiry.Result, slow bool) {
	if result == enquiry.ResultRefused || result == enquiry.ResultCancelled {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.routes[route]
	if t == nil {
		if k.routes == nil {
			k.routes = map[string]*tally{}
		}
		t = &tally{}
		k.routes[route] = t
	}
	c := &t.old
	if onTarget {
		c = &t.target
	}
	c.answers++
	switch {
	case result != enquiry.ResultComplete:
		c.failed++
	case slow:
		c.slow++
	}
}

// Verdict is what is known of a new release.
type Verdict struct {
	Bad bool
	// Answers, Failed and Slow count the answers of the new release.
	Answers, Failed, Slow float64
}

// Verdict tells whether the new release is found to be bad, on any route or over all of them.
func (k *Comparison) Verdict() Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	var old, target count
	bad := false
	for _, t := range k.routes {
		old.add(t.old)
		target.add(t.target)
		bad = bad || worse(t.old, t.target)
	}
	return Verdict{Bad: bad || worse(old, target), Answers: target.answers, Failed: target.failed, Slow: target.slow}
}

func (c *count) add(d count) {
	c.answers += d.answers
	c.failed += d.failed
	c.slow += d.slow
}

func worse(old, target count) bool {
	return target.failed >= leastFailed && target.failed/target.answers > share(old.failed, old.answers)+failedRise ||
		target.slow >= leastSlow && target.slow/target.answers > share(old.slow, old.answers)+slowRise
}

func share(part, of float64) float64 {
	if of == 0 {
		return 0
	}
	return part / of
}
