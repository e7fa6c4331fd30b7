package house

import (
	"encoding/json"
	"math"
	"slices"
	"strconv"

	"carawayknot.example/carawayknot/pkg/caravan"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/concierge"
	"carawayknot.example/carawayknot/pkg/platform"
	"carawayknot.example/carawayknot/pkg/tasting"
)

const (
	// verdictTopic has what each instance found out about upstreams by its own requests, by upstream.
	verdictTopic = "u"
	// healthTopic has the counters of each instance, by version and task.
	healthTopic = "v"
	// itemsPerSecond bounds the items that all instances together publish, since each one reaches every instance.
	itemsPerSecond = 12.0
	// limitStep is the relative change of a limit that is worth telling others.
	limitStep = 0.25
)

// publication remembers what this instance told the others, and when.
type publication struct {
	verdicts map[string]concierge.Verdict
	counters map[string]tasting.Counter
	next     clock.Millis
}

// tellOthers publishes what changed, as far as this instance's part of the common rate allows.
func (c *Control) tellOthers(now clock.Millis) {
	p := &c.published
	if p.verdicts == nil {
		p.verdicts = map[string]concierge.Verdict{}
		p.counters = map[string]tasting.Counter{}
	}
	for _, v := range c.ColdWatch.Verdicts() {
		if old, told := p.verdicts[v.Upstream]; !told || worthTelling(&old, &v) {
			p.verdicts[v.Upstream] = v
			c.put(verdictTopic, v.Upstream, &v)
		}
	}
	members := len(c.Knowledge.Membership.Members())
	pause := clock.Millis(float64(members) / itemsPerSecond * float64(clock.Second))
	for _, k := range c.Ratings.Own() {
		key := string(k.Version) + " " + k.Task
		old := p.counters[key]
		if k.Suspected > old.Suspected {
			// The others must learn at once of a version that turned bad.
			c.tellCounter(key, &k)
		} else if now >= p.next && grown(&old, &k) {
			p.next = now + pause
			c.tellCounter(key, &k)
		}
	}
}

func (c *Control) tellCounter(key string, k *tasting.Counter) {
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

func worthTelling(old, v *concierge.Verdict) bool {
	if old.Incarnation != v.Incarnation || old.Episode != v.Episode || old.Cold != v.Cold {
		return true
	}
	return math.Abs(float64(v.Limit-old.Limit)) > limitStep*float64(old.Limit)
}

// grown tells whether a counter has enough news: the more was counted, the more is needed.
func grown(old, k *tasting.Counter) bool {
	const newsShare = 16
	news := k.Answers + k.Failures + 8*k.Rated - old.Answers - old.Failures - 8*old.Rated
	return news > (old.Answers+old.Failures)/newsShare
}

// itemsChanged takes in what the others published.
func (c *Control) itemsChanged() {
	var verdicts []concierge.Verdict
	for _, item := range c.Knowledge.Gossip.Items(verdictTopic) {
		var v concierge.Verdict
		if item.Origin != c.Common.Settings.Name && c.listed(item.Key) && c.decode(&item, &v) {
			verdicts = append(verdicts, v)
		}
	}
	c.ColdWatch.TakeVerdicts(verdicts)
	byOrigin := map[string][]tasting.Counter{}
	for _, item := range c.Knowledge.Gossip.Items(healthTopic) {
		var k tasting.Counter
		if item.Origin != c.Common.Settings.Name && c.decode(&item, &k) {
			origin := item.Origin + " " + strconv.FormatInt(item.Incarnation, 10)
			byOrigin[origin] = append(byOrigin[origin], k)
		}
	}
	for origin, counters := range byOrigin {
		c.Ratings.Merge(origin, counters)
	}
}

// listed tells whether the list shows the upstream; verdicts of others would never be forgotten.
func (c *Control) listed(upstream string) bool {
	return slices.ContainsFunc(c.upstreams, func(i platform.Instance) bool { return i.Name == upstream })
}

func (c *Control) decode(item *caravan.Item, v any) bool {
	if err := json.Unmarshal(item.Data, v); err != nil {
		c.Common.Log.WithName("control").Info("item of another instance ignored", "origin", item.Origin, "topic", item.Topic)
		return false
	}
	return true
}
