package placement

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// defaultKeepTime is how long a part is assumed to be kept while the memory of the engines or what is read there isn't known, and
	// maxKeepTime bounds it otherwise.
	defaultKeepTime = 20_000.0
	maxKeepTime     = 120_000.0
	// homeChance is the chance that the home of a prompt keeps its shared parts, and sentChance that an upstream keeps parts that were just
	// sent there.
	homeChance, sentChance = 0.85, 0.97
	// maxHomes bounds the upstreams that keep the same parts at a time.
	maxHomes = 4
	// maxRanked bounds the upstreams that are compared by the order of a prompt.
	maxRanked = 24
	// homeShare is the share of an upstream's time that prompts with the same parts may take before they get another home.
	homeShare = 0.25
)

// part is a part of a prompt that other prompts share, with its length in tokens.
type part struct {
	hash   uint64
	tokens float64
}

// sharedParts returns the parts of a prompt that others share, each hashed with the model, which has a cache of its own.
func sharedParts(prompt *request.Prompt, model string) []part {
	if len(prompt.Parts) == 0 {
		return nil
	}
	parts := prompt.Parts[:max(1, len(prompt.Parts)-1)]
	chain := make([]part, len(parts))
	for i, listed := range parts {
		chain[i] = part{hash: xxhash.Sum64String(listed.ID + " " + model), tokens: float64(listed.Tokens)}
	}
	return chain
}

// keep notes that parts were sent to the upstream.
func (k *upstream) keep(chain []part, now clock.Millis) {
	if k.kept == nil || len(k.kept) >= maxKeptParts {
		k.kept = map[uint64]clock.Millis{}
	}
	for _, part := range chain {
		k.kept[part.hash] = now
	}
}

// maxKeptParts is the number of parts after which those of an upstream are dropped.
const maxKeptParts = 512

// keptTokens returns the number of tokens of the prompt that the upstream at a place of its order is expected to keep: a part is kept only if
// all before it are.
func (q *query) keptTokens(k *upstream, place int) float64 {
	kept, chance := 0.0, 1.0
	for _, part := range q.chain {
		chance = min(chance, q.keptChance(k, part, place))
		kept += chance * part.tokens
	}
	return min(kept, q.total)
}

// keptChance returns the chance that the upstream keeps a part. Parts that most prompts share are kept everywhere.
func (q *query) keptChance(k *upstream, part part, place int) float64 {
	perUpstream := q.service.parts.rate(part.hash, q.now) * q.planner.members() * q.service.parts.awayShare() / float64(max(1, q.upstreams))
	chance := 1 - math.Exp(-perUpstream*q.keepTime)
	switch {
	case place < 0:
	case place < q.homes:
		chance = max(chance, homeChance)
	default:
		chance = max(chance, homeChance*math.Exp2(-float64(place-q.homes+1)))
	}
	if at, sent := k.kept[part.hash]; sent {
		chance = max(chance, sentChance*math.Exp(-float64(q.now-at)/q.keepTime))
	}
	return chance
}

// keepTime returns how long an upstream keeps a part after its last use: the time in which new prompts fill its memory.
func (p *Planner) keepTime(s *service, pool *catalogue.Pool, upstreams int, now clock.Millis) float64 {
	perUpstream := s.tokens.per(now) * p.members() / float64(upstreams)
	if pool == nil || pool.CacheTokens <= 0 || perUpstream <= 0 {
		return defaultKeepTime
	}
	return min(float64(pool.CacheTokens)/perUpstream, maxKeepTime)
}

// rank returns the first upstreams in the rendezvous order of the shared parts of the prompt, in which all instances agree: its homes, and as
// many more as are compared, which prompts with the same parts go to next. Heavy prompts have the upstream of the best pace among the first few
// as their first home.
func (q *query) rank(upstreams []*catalogue.Upstream) (ranked []*catalogue.Upstream, homes int) {
	if len(q.chain) == 0 {
		return nil, 0
	}
	key := q.chain[len(q.chain)-1].hash
	homes = q.homeCount(key)
	n := min(max(maxHomes, homes+q.compared(len(upstreams))), len(upstreams), maxRanked)
	var top [maxRanked]*catalogue.Upstream
	var weights [maxRanked]uint64
	for _, u := range upstreams {
		w := mix(key ^ xxhash.Sum64String(u.Name))
		if top[n-1] != nil && w <= weights[n-1] {
			continue
		}
		i := n - 1
		for ; i > 0 && (top[i-1] == nil || w > weights[i-1]); i-- {
			top[i], weights[i] = top[i-1], weights[i-1]
		}
		top[i], weights[i] = u, w
	}
	ranked = top[:n]
	if q.isHeavy() {
		slices.SortStableFunc(ranked[:min(maxHomes, n)], func(a, b *catalogue.Upstream) int { return q.paceStep(a) - q.paceStep(b) })
	}
	return ranked, min(homes, n)
}

// isHeavy reports whether the shared parts alone take so long to read that the pace of the machine matters. It depends on nothing else of the
// prompt, so that prompts with the same parts have the same homes.
func (q *query) isHeavy() bool {
	shared := 0.0
	for _, part := range q.chain {
		shared += part.tokens
	}
	return q.model.read(promptFeatures(shared, shared)) > heavyShare*float64(q.call.Route.Target)
}

// heavyShare is the part of the target latency from which reading the shared parts makes a prompt a heavy one.
const heavyShare = 0.03

// paceStep returns the learned pace of an upstream in coarse steps, so that instances whose estimates differ a little agree.
func (q *query) paceStep(u *catalogue.Upstream) int {
	k := q.planner.upstream(u)
	return int(math.Round(paceSteps * math.Log2(k.ownPace(q.planner.peers[k.key], q.now))))
}

// paceSteps is the number of steps for a doubled pace.
const paceSteps = 1.5

// homeCount returns the number of homes of a prompt by the time that those with the same parts take.
func (q *query) homeCount(key uint64) int {
	perMilli := q.service.parts.rate(key, q.now) * q.planner.members()
	work := q.model.read(promptFeatures(q.total, q.total))
	return 1 + int(min(perMilli*work/homeShare, maxHomes-1))
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
