package admission

import "carawayknot.example/carawayknot/pkg/clock"

const (
	// maxWaitShare is the share of the target latency from which a wait for the larger model is too long to drop any answer for; the
	// rest is for reading the prompt.
	maxWaitShare = 0.5
	// leastUrgentShare is the share of the upstreams that must be idler than the one by whose queue the least urgent calls go.
	leastUrgentShare = 0.8
	// rankWeight divides the wait that a call may meet, for each priority that is more urgent.
	rankWeight = 2
)

// Repeat says when a call gives up a second run at a larger model, which takes room from the first runs of others.
type Repeat struct {
	// Share is the share of the upstreams that are idler than the one by whose queue the wait is predicted.
	Share float64
	// MaxWait is the predicted wait from which no answer is dropped for a larger model's, in milliseconds.
	MaxWait clock.Millis
}

// RepeatOf returns when a call of this urgency on a route with this target gives way. The most urgent calls go by the idlest upstream and their
// own target. The others go by busier upstreams and by the shortest target of those that they hold up.
func RepeatOf(u Urgency, target clock.Millis) Repeat {
	if u.Ranks <= 1 || u.Rank == 0 {
		return Repeat{MaxWait: clock.Millis(maxWaitShare * float64(target))}
	}
	shortest := min(target, u.Target)
	return Repeat{
		Share:   leastUrgentShare * float64(u.Rank) / float64(u.Ranks-1),
		MaxWait: clock.Millis(maxWaitShare * float64(shortest) / float64(1+rankWeight*u.Rank)),
	}
}

// Worth returns the worth of a second run after a predicted wait, from 1 for none down to 0 from MaxWait on.
func (r Repeat) Worth(wait clock.Millis) float64 {
	if r.MaxWait <= 0 {
		return 0
	}
	return max(0, 1-float64(wait)/float64(r.MaxWait))
}
