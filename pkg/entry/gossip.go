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
	// verdictTopic has what each instance found out about upstreams by its own requests, by upstream.
	verdictTopic = "u"
	// healthTopic has the counters of each instance, by version and task.
	healthTopic = "v"
	// limitStep is the relative change of a limit that is worth telling others.
	limitStep = 0.25
)

// publication remembers what this instance told the others, and when.
type publication struct {
	verdicts map[string]dispatch.Verdict
	counters map[string]rating.Counter
	next     clock.Millis
}

// tellOthers publishes what changed, as far as this instance's part of the common rate allows.
func (c *Control) tellOthers(now clock.Millis) {
	p := &c.published
	if p.verdicts == nil {
		p.verdicts = map[string]dispatch.Verdict{}
		p.counters = map[string]rating.Counter{}
	}
	for _, v := range c.ColdWatch.Verdicts() {
		if old, told := p.verdicts[v.Upstream]; !told || worthTelling(&old, &v) {
			p.verdicts[v.Upstream] = v
			c.put(verdictTopic, v.Upstream, &v)
		}
	}
	for _, k := range c.Ratings.Own() {
		key := string(k.Version) + " " + k.Task
		old := p.counters[key]
		if k.Suspected > old.Suspected {
			// The others must learn at once of a version that turned bad.
			c.tellCounter(key, &k)
		} else if now >= p.next && grown(&old, &k) {
			p.next = now + c.Knowledge.PublishPeriod()
			c.tellCounter(key, &k)
		}
	}
}

func (c *Control) tellCounter(key string, k *rating.Counter) {
	c.published.counters[key] = *k
	c.put(healthTopic, key, k)
}

func (c *Control) put(topic, key string, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		c.Common.Log.WithName("control").Error(err, "item not encoded", "topic", topic)
		return
	}
	c.Knowledge.Gossip.Put(topic, key, data)
}

func worthTelling(old, v *dispatch.Verdict) bool {
	if old.Incarnation != v.Incarnation || old.Episode != v.Episode || old.Cold != v.Cold {
		return true
	}
	return math.Abs(float64(v.Limit-old.Limit)) > limitStep*float64(old.Limit)
}

// grown tells whether a counter has enough news: the more was counted, the more is needed.
func grown(old, k *rating.Counter) bool {
	const newsShare = 16
	news := k.Answers + k.Failures + 8*k.Rated - old.Answers - old.Failures - 8*old.Rated
	return news > (old.Answers+old.Failures)/newsShare
}

// itemsChanged takes in what the others published since the last call.
func (c *Control) itemsChanged() {
	var verdicts []membership.Item
	for _, item := range c.Knowledge.Gossip.TakeChanges() {
		switch item.Topic {
		case verdictTopic:
			verdicts = append(verdicts, item)
		case healthTopic:
			c.takeCounter(&item)
		}
	}
	c.takeVerdicts(verdicts)
}

// takeVerdicts takes in verdicts on listed upstreams; verdicts on others would never be forgotten.
func (c *Control) takeVerdicts(items []membership.Item) {
	var verdicts []dispatch.Verdict
	for _, item := range items {
		var v dispatch.Verdict
		if item.Origin != c.Common.Settings.Name && len(item.Data) > 0 && c.hasUpstream(item.Key) && c.decode(&item, &v) {
			verdicts = append(verdicts, v)
		}
	}
	if len(verdicts) > 0 {
		c.ColdWatch.TakeVerdicts(verdicts)
	}
}

func (c *Control) takeCounter(item *membership.Item) {
	var k rating.Counter
	if len(item.Data) == 0 || !c.decode(item, &k) {
		return
	}
	origin := item.Origin + " " + strconv.FormatInt(item.Incarnation, 10)
	if c.origins == nil {
		c.origins = map[string]string{}
	}
	if old, known := c.origins[item.Origin]; known && old != origin {
		c.Ratings.Forget(old)
	}
	c.origins[item.Origin] = origin
	c.Ratings.Merge(origin, []rating.Counter{k})
}

// forgetOrigins drops the counters of instances that are gone; what they counted stays in the health of the versions.
func (c *Control) forgetOrigins() {
	gone := maps.Clone(c.origins)
	for _, m := range c.Knowledge.Membership.Members() {
		delete(gone, m.Name)
	}
	for name, origin := range gone {
		c.Ratings.Forget(origin)
		delete(c.origins, name)
	}
}

// hasUpstream tells whether the list shows the upstream.
func (c *Control) hasUpstream(upstream string) bool {
	return slices.ContainsFunc(c.upstreams, func(i backoffice.Instance) bool { return i.Name == upstream })
}

func (c *Control) decode(item *membership.Item, v any) bool {
	if err := json.Unmarshal(item.Data, v); err != nil {
		c.Common.Log.WithName("control").Info("item of another instance ignored", "origin", item.Origin, "topic", item.Topic)
		return false
	}
	return true
}
