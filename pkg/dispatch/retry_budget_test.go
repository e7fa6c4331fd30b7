package dispatch

import (
	"math/rand"
	"testing"

	"carawayknot.example/carawayknot/pkg/clock"
)

// The retries that a day may have: in each window the ratio of its requests, and the slack. The requests are those of the window, of the
// one before it or of the one half a window before it, whichever has most.
const (
	dayRatio                = 0.9
	daySlack                = 54.0
	dayWindow  clock.Millis = 10_000
	dayStep    clock.Millis = 100
	dayLength  clock.Millis = 60_000
	maxRetries              = 2
)

// retryDay is a simulated day of a service: its requests, and the share of them that fail.
type retryDay struct {
	name      string
	instances int
	// perSecond returns the requests of a second, and failing the share of the attempts that fail.
	perSecond func(at clock.Millis) float64
	failing   func(at clock.Millis) float64
	// place returns the instance that gets a request; nil means all alike.
	place func(rng *rand.Rand) int
	// restarts has the times at which the instances start again, one after the other.
	restarts []clock.Millis
}

// retryCounts are the requests of a day and the attempts beyond the first of each, by step.
type retryCounts struct{ requests, retries []float64 }

func playRetryDay(d retryDay, seed int64) retryCounts {
	rng := rand.New(rand.NewSource(seed))
	clk := clock.NewManual(0)
	budgets := make([]*RetryBudgets, d.instances)
	for i := range budgets {
		budgets[i] = newDayBudgets(clk, d.instances)
	}
	steps := int(dayLength / dayStep)
	counts := retryCounts{requests: make([]float64, steps), retries: make([]float64, steps)}
	owed, restarted := 0.0, 0
	// All instances start a window before the traffic.
	clk.Advance(dayWindow)
	for step := range steps {
		at := clock.Millis(step) * dayStep
		for restarted < len(d.restarts) && d.restarts[restarted] <= at {
			budgets[restarted%d.instances] = newDayBudgets(clk, d.instances)
			restarted++
		}
		for owed += d.perSecond(at) * dayStep.Seconds(); owed >= 1; owed-- {
			counts.requests[step]++
			i := rng.Intn(d.instances)
			if d.place != nil {
				i = d.place(rng)
			}
			b := budgets[i]
			b.Deposit("lm", clk.Now())
			for try := 0; try < maxRetries && rng.Float64() < d.failing(at) && b.TryWithdraw("lm", clk.Now()); try++ {
				counts.retries[step]++
			}
		}
		clk.Advance(dayStep)
	}
	return counts
}

func newDayBudgets(clk *clock.Manual, members int) *RetryBudgets {
	return &RetryBudgets{Share: dayRatio, Window: dayWindow, Slack: daySlack, Members: func() int { return members }, StartedAt: clk.Now()}
}

// worstWindow returns the beginning of the window that exceeds its retries by most, and by how many.
func (c *retryCounts) worstWindow() (at clock.Millis, excess float64) {
	n := int(dayWindow / dayStep)
	sum := func(values []float64, from int) float64 {
		total := 0.0
		for i := max(0, from); i < min(len(values), from+n); i++ {
			total += values[i]
		}
		return total
	}
	for from := range c.requests {
		requests := max(sum(c.requests, from), sum(c.requests, from-n), sum(c.requests, from-n/2))
		if more := sum(c.retries, from) - dayRatio*requests - daySlack; more > excess {
			at, excess = clock.Millis(from)*dayStep, more
		}
	}
	return at, excess
}

// constant returns a function that is always the same.
func constant(x float64) func(clock.Millis) float64 {
	return func(clock.Millis) float64 { return x }
}

// during returns a function with one value from one time to another, and else a second one.
func during(from, to clock.Millis, within, else_ float64) func(clock.Millis) float64 {
	return func(at clock.Millis) float64 {
		if at >= from && at < to {
			return within
		}
		return else_
	}
}

// Retries that were saved up during a burst came at once when a service failed, besides those that its requests earned.
func TestRetriesStayWithinEachWindow(t *testing.T) {
	inTurn := func(n int, from, gap clock.Millis) (times []clock.Millis) {
		for i := range n {
			times = append(times, from+clock.Millis(i)*gap)
		}
		return times
	}
	half := func(rng *rand.Rand) int {
		if rng.Intn(2) == 0 {
			return 0
		}
		return rng.Intn(7)
	}
	for _, d := range []retryDay{
		{name: "a failure", instances: 7, perSecond: constant(100), failing: during(20_000, 30_000, 1, 0.05)},
		{name: "a burst, then a failure", instances: 7, perSecond: during(2000, 9000, 500, 100), failing: during(18_000, 27_000, 1, 0)},
		{name: "a burst, then a failure at once", instances: 7, perSecond: during(2000, 9000, 500, 100), failing: during(9000, 27_000, 1, 0)},
		{name: "traffic falls to a tenth", instances: 7, perSecond: during(0, 20_000, 200, 20), failing: during(20_000, 40_000, 1, 0)},
		{name: "one instance has half of the requests", instances: 7, perSecond: during(2000, 9000, 500, 100), failing: during(18_000, 27_000, 1, 0), place: half},
		{name: "restarts", instances: 7, perSecond: constant(20), failing: during(20_000, 40_000, 1, 0), restarts: inTurn(28, 20_000, 500)},
		{name: "all restart at once, twice", instances: 7, perSecond: constant(20), failing: during(20_000, 40_000, 1, 0),
			restarts: append(inTurn(7, 24_000, 0), inTurn(7, 29_000, 0)...)},
		{name: "68 instances", instances: 68, perSecond: during(2000, 9000, 500, 100), failing: during(18_000, 27_000, 1, 0)},
		{name: "330 instances and few requests", instances: 330, perSecond: constant(30), failing: during(20_000, 40_000, 1, 0)},
		{name: "calm, then bursts of failures", instances: 7, perSecond: constant(60), failing: func(at clock.Millis) float64 { return float64(at / 2500 % 2) }},
	} {
		t.Run(d.name, func(t *testing.T) {
			for seed := range int64(5) {
				counts := playRetryDay(d, seed)
				if at, excess := counts.worstWindow(); excess > 0 {
					t.Errorf("seed %d: %.0f retries too many in the window from %d ms on", seed, excess, at)
				}
			}
		})
	}
}
