package trace

import (
	"math"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/rating"
)

// priorCounters returns the counters of the ratings collected before the trace starts.
func (t *Trace) priorCounters() []rating.Counter {
	var out []rating.Counter
	tokens := t.meanOutputTokens()
	for _, v := range t.Truths {
		if v.History > 0 {
			out = append(out, t.priorCounter(v, tokens[v.Task]))
		}
	}
	return out
}

func (t *Trace) priorCounter(v GroundTruth, tokens float64) rating.Counter {
	c := rating.Counter{Version: v.Version, Task: v.Task, Rated: int64(v.History), Answers: int64(v.History)}
	d := newRatingDistribution(v.Mean, v.Deviation)
	for i := range v.History {
		s := d.quantile((float64(i) + 0.5) / float64(v.History))
		c.ScoreSum += s
		c.Scores[scoreBucket(s)]++
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

// meanOutputTokens returns the mean number of output tokens by task.
func (t *Trace) meanOutputTokens() map[string]float64 {
	taskOf := map[string]string{}
	for i := range t.Configuration.Profiles {
		taskOf[t.Configuration.Profiles[i].Name] = t.Configuration.Profiles[i].Task
	}
	sum, n := map[string]float64{}, map[string]float64{}
	for i := range t.Requests {
		if r := &t.Requests[i]; r.Profile != "" {
			sum[taskOf[r.Profile]] += float64(r.OutputTokens)
			n[taskOf[r.Profile]]++
		}
	}
	for task := range sum {
		sum[task] /= n[task]
	}
	return sum
}

// warmVerdicts returns verdicts that mark all upstreams as warm.
func (t *Trace) warmVerdicts() []dispatch.Verdict {
	var verdicts []dispatch.Verdict
	for i := range t.Upstreams {
		u := &t.Upstreams[i]
		verdicts = append(verdicts, dispatch.Verdict{Upstream: u.Name, Incarnation: 1, Limit: u.Bearable})
	}
	return verdicts
}

// trueHealth returns the health of all versions according to the ground truth.
func trueHealth(env *environment) map[catalogue.HealthKey]catalogue.Health {
	const ratings = 1_000_000
	out := map[catalogue.HealthKey]catalogue.Health{}
	for _, v := range env.trace.Truths {
		k := catalogue.HealthKey{Version: v.Version, Task: v.Task}
		truth := env.truths[k]
		s := env.speeds[v.Version]
		h := catalogue.Health{
			Version:        v.Version,
			Task:           v.Task,
			Rated:          ratings,
			Mean:           truth.clampedMean,
			Lower:          truth.clampedMean,
			FirstTokenTime: s.FirstToken,
			TokenTime:      s.TokenTime,
			Tokens:         env.meanTokens[v.Task],
		}
		for i, share := range truth.bucketShares {
			h.Scores[i] = int32(math.Round(share * ratings))
		}
		_, h.Suspect = env.shiftedAt[v.Version]
		out[k] = h
	}
	return out
}
