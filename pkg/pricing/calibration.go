package pricing

import (
	"math"
	"strings"
	"sync"
)

const (
	// evenConfidence is the confidence at which a model is as likely to be up to a request as not.
	evenConfidence = 50.0
	// initialNoise is the assumed standard deviation of a confidence before any was compared. It is high, so that few answers of small
	// models are kept at first.
	initialNoise = 10.0
	// initialPairs is the number of compared answers that the initial values count for.
	initialPairs = 4.0
	// minNoise and maxNoise bound the learned standard deviation.
	minNoise, maxNoise = 2.0, 25.0
	// maxConfidence is the end of the scale; confidences at either end say only that the true one is there or beyond.
	maxConfidence = 100
	// maxPairs is the number of own compared answers at which older ones lose half of their weight.
	maxPairs = 1000
	// maxModelPairs bounds the number of pairs of models that are tracked.
	maxModelPairs = 256
	// calibrationPrefix is the prefix of the keys under which instances exchange their sums.
	calibrationPrefix = "confidence "
)

// Calibration learns what the confidences that models report with their answers mean: by how much the confidences of two models for
// the same request differ, and how much they vary by chance. It is safe for concurrent use.
type Calibration struct {
	mu    sync.Mutex
	own   map[modelPair]*gains
	peers map[modelPair]*gains
}

// modelPair is a model of a service and a larger one.
type modelPair struct{ service, from, to string }

// gains are sums over the differences of the confidences of two models, the larger model's minus that of the other.
type gains struct{ n, sum, squares float64 }

// Record adds the confidences of two models for the same request. It ignores those at the ends of the scale or beyond.
func (k *Calibration) Record(service, from, to string, confidence, larger int) {
	if confidence <= 0 || confidence >= maxConfidence || larger <= 0 || larger >= maxConfidence {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.own == nil {
		k.own = map[modelPair]*gains{}
	}
	pair := modelPair{service, from, to}
	g := k.own[pair]
	if g == nil {
		if len(k.own) >= maxModelPairs {
			clear(k.own)
		}
		g = &gains{}
		k.own[pair] = g
	}
	if g.n >= maxPairs {
		g.n, g.sum, g.squares = g.n/2, g.sum/2, g.squares/2
	}
	d := float64(larger - confidence)
	g.n, g.sum, g.squares = g.n+1, g.sum+d, g.squares+d*d
}

// Success returns the probability that the model is up to a request for which it reports this confidence.
func (k *Calibration) Success(service string, confidence int) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return normalCDF((float64(confidence) - evenConfidence) / k.noise(service))
}

// LargerSuccess returns the probability that a larger model is up to a request for which the other reports this confidence.
func (k *Calibration) LargerSuccess(service, from, to string, confidence int) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	g := k.total(modelPair{service, from, to})
	// Without a comparison the larger model is assumed to be no better.
	gain := g.sum / (g.n + initialPairs)
	return normalCDF((float64(confidence) + gain - evenConfidence) / k.noise(service))
}

// Noise returns the standard deviation by which confidences of the service's models vary for requests of the same difficulty.
func (k *Calibration) Noise(service string) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.noise(service)
}

func (k *Calibration) noise(service string) float64 {
	// A difference has the variance of two confidences.
	n, squares := initialPairs, initialPairs*2*initialNoise*initialNoise
	for pair := range k.pairs() {
		if pair.service != service {
			continue
		}
		if g := k.total(pair); g.n > 1 {
			n += g.n - 1
			squares += max(0, g.squares-g.sum*g.sum/g.n)
		}
	}
	return min(max(minNoise, math.Sqrt(squares/n/2)), maxNoise)
}

func (k *Calibration) pairs() map[modelPair]bool {
	pairs := map[modelPair]bool{}
	for pair := range k.own {
		pairs[pair] = true
	}
	for pair := range k.peers {
		pairs[pair] = true
	}
	return pairs
}

func (k *Calibration) total(pair modelPair) gains {
	var t gains
	for _, g := range []*gains{k.own[pair], k.peers[pair]} {
		if g != nil {
			t.n, t.sum, t.squares = t.n+g.n, t.sum+g.sum, t.squares+g.squares
		}
	}
	return t
}

// AddOwn adds this instance's sums to the items that it shares with its peers.
func (k *Calibration) AddOwn(items map[string]float32) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for pair, g := range k.own {
		key := calibrationPrefix + pair.service + " " + pair.from + " " + pair.to + " "
		items[key+"n"], items[key+"sum"], items[key+"squares"] = float32(g.n), float32(g.sum), float32(g.squares)
	}
}

// SetPeers replaces the sums of all other instances by their shared items; it ignores those that are no sums of differences.
func (k *Calibration) SetPeers(items map[string]float32) {
	peers := map[modelPair]*gains{}
	for key, n := range items {
		rest, found := strings.CutPrefix(key, calibrationPrefix)
		fields := strings.Split(rest, " ")
		if !found || len(fields) != 4 || fields[3] != "n" || len(peers) >= maxModelPairs {
			continue
		}
		prefix := strings.TrimSuffix(key, "n")
		g := &gains{n: float64(n), sum: float64(items[prefix+"sum"]), squares: float64(items[prefix+"squares"])}
		if g.plausible() {
			peers[modelPair{fields[0], fields[1], fields[2]}] = g
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.peers = peers
}

// plausible reports whether the sums can come from differences of confidences; it is false for NaN and infinities.
func (g *gains) plausible() bool {
	return g.n > 0 && g.n < math.MaxInt32 && math.Abs(g.sum) <= maxConfidence*g.n && g.squares >= 0 &&
		g.squares <= maxConfidence*maxConfidence*g.n && g.squares*g.n*1.001+1 >= g.sum*g.sum
}

// normalCDF returns the probability that a standard normal variable is at most x.
func normalCDF(x float64) float64 { return math.Erfc(-x/math.Sqrt2) / 2 }
