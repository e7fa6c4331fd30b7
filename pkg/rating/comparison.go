package rating

import (
	"strings"
	"sync"

	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// leastFailed and leastSlow are how many failed or slow answers of a new release are seen, over all instances, before it is
	// found to be bad; queues make single answers slow, so that more of those are needed.
	leastFailed = 5
	leastSlow   = 8
	// leastFailing is how many upstreams of the new release must have failed, so that one that crashes is not the release's fault.
	leastFailing = 2
	// failedRise and slowRise are how much larger the share of such answers is than that of the old release; bad releases
	// fail or are slow on a third of their requests and more.
	failedRise = 0.2
	slowRise   = 0.25
	// leastDragging is how many streams of a new release drag before it is found to be bad, at two upstreams at least, and dragRise
	// how much larger their share is than that of the old release; few streams of a sound one do.
	leastDragging = 5
	dragRise      = 0.4
)

// Comparison compares the answers of a new release with those of the old one, over all instances that tell each other what
// they saw; it is safe for concurrent use.
type Comparison struct {
	mu sync.Mutex
	// own counts what this instance saw, and others what the others did, by countKey.
	own    map[string]float32
	others map[string]float32
}

// What is counted of an answer.
const (
	countAnswers = "answers"
	countFailed  = "failed"
	countSlow    = "slow"
	// countStreams counts the streams whose pace is known, and countDragging those that were far slower than usual.
	countStreams  = "streams"
	countDragging = "dragging"
	// countDragger counts dragging streams by upstream in place of the route.
	countDragger = "dragger"
	// countFailing counts failures by upstream in place of the route.
	countFailing = "failing"

	releaseOld    = "old"
	releaseTarget = "target"
	keySeparator  = "\x00"
)

func countKey(what, release, of string) string {
	return what + keySeparator + release + keySeparator + of
}

// Take notes one attempt at an upstream; slow tells that its answer was far later than usual for its prompt.
func (k *Comparison) Take(route, upstream string, onTarget bool, result request.Result, slow bool) {
	switch result {
	case request.ResultRefused, request.ResultCancelled, request.ResultUnreached:
		// None of them is the release's work; what can't be reached is no reason to take a release back.
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.count(countAnswers, onTarget, route)
	switch {
	case result != request.ResultComplete:
		k.count(countFailed, onTarget, route)
		if onTarget {
			k.count(countFailing, onTarget, upstream)
		}
	case slow:
		k.count(countSlow, onTarget, route)
	}
}

// TakePace notes the pace of a stream; drags tells that its pauses were far longer than usual.
func (k *Comparison) TakePace(route, upstream string, onTarget, drags bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.count(countStreams, onTarget, route)
	if !drags {
		return
	}
	k.count(countDragging, onTarget, route)
	if onTarget {
		k.count(countDragger, onTarget, upstream)
	}
}

// count adds one to what this instance saw of a release, by route or upstream; mu is held.
func (k *Comparison) count(what string, onTarget bool, of string) {
	release := releaseOld
	if onTarget {
		release = releaseTarget
	}
	if k.own == nil {
		k.own = map[string]float32{}
	}
	k.own[countKey(what, release, of)]++
}

// Own adds what this instance saw to sum, under keys that begin with prefix.
func (k *Comparison) Own(prefix string, sum map[string]float32) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key, n := range k.own {
		sum[prefix+key] = n
	}
}

// Tell takes what the other instances saw, from the keys that begin with prefix.
func (k *Comparison) Tell(prefix string, seen map[string]float32) {
	others := map[string]float32{}
	for key, n := range seen {
		if rest, ok := strings.CutPrefix(key, prefix); ok {
			others[rest] = n
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.others = others
}

// Verdict is what is known of a new release.
type Verdict struct {
	Bad bool
	// Answers, Failed and Slow count the answers of the new release, and Dragging its streams with long pauses.
	Answers, Failed, Slow, Dragging float32
}

// count is what was seen of one release.
type count struct{ answers, failed, slow, streams, dragging float32 }

// Verdict tells whether the new release is found to be bad, on any route or over all of them.
func (k *Comparison) Verdict() Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	routes := map[string]map[string]*count{}
	failing, draggers := map[string]bool{}, map[string]bool{}
	for _, counts := range []map[string]float32{k.own, k.others} {
		for key, n := range counts {
			parts := strings.SplitN(key, keySeparator, 3)
			if len(parts) != 3 {
				continue
			}
			switch parts[0] {
			case countFailing:
				failing[parts[2]] = true
				continue
			case countDragger:
				draggers[parts[2]] = true
				continue
			}
			add(routes, parts[2], parts[1], parts[0], n)
			add(routes, "", parts[1], parts[0], n)
		}
	}
	var v Verdict
	for route, releases := range routes {
		old, target := releases[releaseOld], releases[releaseTarget]
		if target == nil {
			continue
		}
		if old == nil {
			old = &count{}
		}
		v.Bad = v.Bad || fails(old, target) && len(failing) >= leastFailing || isSlow(old, target) ||
			drags(old, target) && len(draggers) >= leastFailing
		if route == "" {
			v.Answers, v.Failed, v.Slow, v.Dragging = target.answers, target.failed, target.slow, target.dragging
		}
	}
	return v
}

func add(routes map[string]map[string]*count, route, release, what string, n float32) {
	if routes[route] == nil {
		routes[route] = map[string]*count{}
	}
	c := routes[route][release]
	if c == nil {
		c = &count{}
		routes[route][release] = c
	}
	switch what {
	case countAnswers:
		c.answers += n
	case countFailed:
		c.failed += n
	case countSlow:
		c.slow += n
	case countStreams:
		c.streams += n
	case countDragging:
		c.dragging += n
	}
}

func fails(old, target *count) bool {
	return target.failed >= leastFailed && target.failed/target.answers > share(old.failed, old.answers)+failedRise
}

func isSlow(old, target *count) bool {
	return target.slow >= leastSlow && target.slow/target.answers > share(old.slow, old.answers)+slowRise
}

func drags(old, target *count) bool {
	return target.dragging >= leastDragging && target.dragging/target.streams > share(old.dragging, old.streams)+dragRise
}

func share(part, of float32) float32 {
	if of == 0 {
		return 0
	}
	return part / of
}
