package entry

import (
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strconv"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/dispatch"
	"carawayknot.example/carawayknot/pkg/membership"
	"carawayknot.example/carawayknot/pkg/rating"
)

const (
	// verdictTopic has the verdict of each instance on upstreams, inferred from its own requests; the key is the upstream.
	verdictTopic = "u"
	// healthTopic has the counters of each instance; the key is version and task.
	healthTopic = "v"
	// minLimitChange is the relative change of a concurrency limit from which a verdict is published again.
	minLimitChange = 0.25
)

// publishedItems has what this instance published last, and the earliest time at which it may publish the next routine
// counter.
type publishedItems struct {
	verdicts      map[string]dispatch.Verdict
	counters      map[string]rating.Counter
	nextCounterAt clock.Millis
}

// publishItems publishes verdicts and counters that have changed. Routine counters are rate-limited by PublishPeriod, which
// bounds the gossip of all instances together.
func (c *Control) publishItems(now clock.Millis) {
	p := &c.published
	if p.verdicts == nil {
		p.verdicts = map[string]dispatch.Verdict{}
		p.counters = map[string]rating.Counter{}
	}
	for _, v := range c.ColdStarts.Verdicts() {
		if old, published := p.verdicts[v.Upstream]; !published || verdictChanged(&old, &v) {
			p.verdicts[v.Upstream] = v
			c.publishItem(verdictTopic, v.Upstream, &v)
		}
	}
	for _, k := range c.Ratings.LocalCounters() {
		key := string(k.Version) + " " + k.Task
		old := p.counters[key]
		if k.Suspected > old.Suspected {
			// Other instances must learn at once of a version that has turned bad.
			c.publishCounter(key, &k)
		} else if now >= p.nextCounterAt && counterAdvanced(&old, &k) {
			p.nextCounterAt = now + c.Cluster.PublishPeriod()
			c.publishCounter(key, &k)
		}
	}
}

func (c *Control) publishCounter(key string, k *rating.Counter) {
	c.published.counters[key] = *k
	c.publishItem(healthTopic, key, k)
}

func (c *Control) publishItem(topic, key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		c.Common.Log.WithName("control").Error(err, "failed to encode gossip item", "topic", topic)
		return
	}
	c.Cluster.Gossip.Put(topic, key, data)
}

// verdictChanged reports whether a verdict differs enough from the published one to be published again.
func verdictChanged(old, v *dispatch.Verdict) bool {
	if old.Incarnation != v.Incarnation || old.Episode != v.Episode || old.Cold != v.Cold {
		return true
	}
	return math.Abs(float64(v.Limit-old.Limit)) > minLimitChange*float64(old.Limit)
}

// counterAdvanced reports whether a counter has grown enough to be published: the required growth is proportional to what was
// published, and a rating weighs as much as eight answers.
func counterAdvanced(old, k *rating.Counter) bool {
	const growthDivisor = 16
	growth := k.Answers + k.Failures + 8*k.Rated - old.Answers - old.Failures - 8*old.Rated
	return growth > (old.Answers+old.Failures)/growthDivisor
}

// mergeItems merges the items of other instances that changed since the last call.
func (c *Control) mergeItems() {
	var verdicts []membership.Item
	for _, item := range c.Cluster.Gossip.TakeChanges() {
		switch item.Topic {
		case verdictTopic:
			verdicts = append(verdicts, item)
		case healthTopic:
			c.mergeCounter(&item)
		}
	}
	c.mergeVerdicts(verdicts)
}

// mergeVerdicts merges verdicts on listed upstreams. Verdicts on others would never be deleted, since only upstreams that leave
// the list are forgotten.
func (c *Control) mergeVerdicts(items []membership.Item) {
	var verdicts []dispatch.Verdict
	for _, item := range items {
		var v dispatch.Verdict
		if item.Origin != c.Common.Settings.Name && len(item.Data) > 0 && c.hasUpstream(item.Key) && c.decode(&item, &v) {
			verdicts = append(verdicts, v)
		}
	}
	if len(verdicts) > 0 {
		c.ColdStarts.MergeVerdicts(verdicts)
	}
}

func (c *Control) mergeCounter(item *membership.Item) {
	var k rating.Counter
	if len(item.Data) == 0 || !c.decode(item, &k) {
		return
	}
	origin := item.Origin + " " + strconv.FormatInt(item.Incarnation, 10)
	if c.counterOrigins == nil {
		c.counterOrigins = map[string]string{}
	}
	if old, known := c.counterOrigins[item.Origin]; known && old != origin {
		c.Ratings.RemoveOrigin(old)
	}
	c.counterOrigins[item.Origin] = origin
	c.Ratings.Merge(origin, []rating.Counter{k})
}

// forgetGoneOrigins drops the counters of instances that are no longer members; what they counted remains part of the health of
// the versions.
func (c *Control) forgetGoneOrigins() {
	gone := maps.Clone(c.counterOrigins)
	for _, m := range c.Cluster.Membership.Members() {
		delete(gone, m.Name)
	}
	for name, origin := range gone {
		c.Ratings.RemoveOrigin(origin)
		delete(c.counterOrigins, name)
	}
}

// hasUpstream reports whether the list has the upstream.
func (c *Control) hasUpstream(upstream string) bool {
	return slices.ContainsFunc(c.upstreams, func(i backoffice.Instance) bool { return i.Name == upstream })
}

func (c *Control) decode(item *membership.Item, v any) bool {
	if err := json.Unmarshal(item.Data, v); err != nil {
		c.Common.Log.WithName("control").Info("ignored gossip item that cannot be decoded", "origin", item.Origin, "topic", item.Topic)
		return false
	}
	return true
}
