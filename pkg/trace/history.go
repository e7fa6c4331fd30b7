package trace

import (
	"math"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/rating"
)

// history returns the counters of what had been seen before the trace starts.
func (t *Trace) history() []rating.Counter {
	var out []rating.Counter
	tokens := t.taskTokens()
	for _, v := range t.Truths {
		if v.History > 0 {
			out = append(out, t.counter(v, tokens[v.Task]))
		}
	}
	return out
}

func (t *Trace) counter(v Truth, tokens float64) rating.Counter {
	c := rating.Counter{Version: v.Version, Task: v.Task, Rated: int64(v.History), Answers: int64(v.History)}
	d := newDistribution(v.Mean, v.Deviation)
	for i := range v.History {
		s := d.at((float64(i) + 0.5) / float64(v.History))
		c.ScoreSum += s
		c.Scores[scoreStep(s)]++
	}
	for _, s := range t.Speeds {
		if s.Version != v.Version {
			continue
		}
		n := float64(v.History)
		c.FirstToken = int64(math.Round(n * s.FirstToken))
		c.Tokens = int64(math.Round(n * tokens))
		c.Generation = int64(math.Round(n * tokens * s.TokenTime))
	}
	return c
}

// taskTokens returns the mean length of the answers by task.
func (t *Trace) taskTokens() map[string]float64 {
	tasks := map[string]string{}
	for i := range t.Configuration.Profiles {
		tasks[t.Configuration.Profiles[i].Name] = t.Configuration.Profiles[i].Task
	}
	sum, n := map[string]float64{}, map[string]float64{}
	for i := range t.Requests {
		if r := &t.Requests[i]; r.Profile != "" {
			sum[tasks[r.Profile]] += float64(r.OutputTokens)
			n[tasks[r.Profile]]++
		}
	}
	for task := range sum {
		sum[task] /= n[task]
	}
	return sum
}

// warm returns the verdicts on upstreams that were warm before the trace starts.
func (t *Trace) warm() []dispatch.Verdict {
	var verdicts []dispatch.Verdict
	for i := range t.Upstreams {
		u := &t.Upstreams[i]
		verdicts = append(verdicts, dispatch.Verdict{Upstream: u.Name, Incarnation: 1, Limit: u.Bearable})
	}
	return verdicts
}

// knowledge is the health of all versions as one would know it who knew the truth.
func knowledge(w *world) map[catalogue.HealthKey]catalogue.Health {
	const ratings = 1_000_000
	out := map[catalogue.HealthKey]catalogue.Health{}
	for _, v := range w.trace.Truths {
		k := catalogue.HealthKey{Version: v.Version, Task: v.Task}
		d := w.truths[k]
		s := w.speeds[v.Version]
		h := catalogue.Health{
			Version:        v.Version,
			Task:           v.Task,
			Rated:          ratings,
			Mean:           d.expected,
			Lower:          d.expected,
			FirstTokenTime: s.FirstToken,
			TokenTime:      s.TokenTime,
			Tokens:         w.tokens[v.Task],
		}
		for i, share := range d.shares {
			h.Scores[i] = int32(math.Round(share * ratings))
		}
		_, h.Suspect = w.turned[v.Version]
		out[k] = h
	}
	return out
}
