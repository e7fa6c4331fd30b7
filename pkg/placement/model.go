package placement

import "carawayknot.example/carawayknot/pkg/clock"

// The features by which the time to the first token is estimated: 1, the tokens that are not kept, those times the length of the whole prompt,
// both in thousands and at the pace of the machine, the requests that are there, of which some are read at the same time, and those that wait for
// a slot, for each slot.
const (
	featureBase = iota
	featureUnread
	featurePairs
	featureInFlight
	featureWaiting
	featureCount
)

// features describe a prompt and, once it is placed, the upstream where it is read.
type features [featureCount]float64

// promptFeatures returns the features of a prompt alone.
func promptFeatures(unread, total float64) features {
	return features{featureUnread: unread / 1000, featurePairs: unread * total / 1e6}
}

// at returns the features of the prompt at an upstream of this pace with so many requests, and so many for each slot that wait.
func (x features) at(pace, inFlight, waiting float64) features {
	return features{1, pace * x[featureUnread], pace * x[featurePairs], inFlight, waiting}
}

// sums are those of a weighted linear regression of the time to the first token, and of the gaps between events.
type sums struct {
	xx [featureCount][featureCount]float64
	xy features
	// weight is the number of first tokens, and gaps and logGap the number and the sum of the logarithms of gaps.
	weight, gaps, logGap float64
}

// modelFigures is the number of figures of a model: one half of xx, xy, weight, gaps and logGap.
const modelFigures = featureCount*(featureCount+1)/2 + featureCount + 3

func (s *sums) add(x features, y, weight float64) {
	for i := range featureCount {
		for j := range featureCount {
			s.xx[i][j] += weight * x[i] * x[j]
		}
		s.xy[i] += weight * x[i] * y
	}
	s.weight++
}

// fadeBy multiplies all sums by f.
func (s *sums) fadeBy(f float64) {
	for i := range featureCount {
		for j := range featureCount {
			s.xx[i][j] *= f
		}
		s.xy[i] *= f
	}
	s.weight, s.gaps, s.logGap = s.weight*f, s.gaps*f, s.logGap*f
}

// figures returns the sums as they are exchanged.
func (s *sums) figures() []float32 {
	f := make([]float32, 0, modelFigures)
	for i := range featureCount {
		for j := range i + 1 {
			f = append(f, float32(s.xx[i][j]))
		}
	}
	for _, v := range s.xy {
		f = append(f, float32(v))
	}
	return append(f, float32(s.weight), float32(s.gaps), float32(s.logGap))
}

// plus returns the sums with the figures of other instances.
func (s *sums) plus(figures []float32) sums {
	t := *s
	if len(figures) != modelFigures {
		return t
	}
	n := 0
	next := func() float64 { n++; return float64(figures[n-1]) }
	for i := range featureCount {
		for j := range i + 1 {
			v := next()
			t.xx[i][j] += v
			if i != j {
				t.xx[j][i] += v
			}
		}
	}
	for i := range t.xy {
		t.xy[i] += next()
	}
	t.weight += next()
	t.gaps += next()
	t.logGap += next()
	return t
}

// model is what was learned of one model of a service.
type model struct {
	key uint32
	own sums
	// all has the sums of all instances as of the last exchange and the own ones since.
	all     sums
	fadedAt clock.Millis
	// costs are the milliseconds of each feature at the usual pace; they are not known before enough samples.
	costs features
	known bool
	// gap is the logarithm of the usual gap between events.
	gap      float64
	gapKnown bool
	front    front
}

const (
	// minSamples is the number of first tokens from which a model is known.
	minSamples = 4
	// learnTime is the time after which a sample has a third of its weight.
	learnTime = 90 * clock.Second
)

// read returns the time to read a prompt at the usual pace, from the features of the prompt alone.
func (m *model) read(x features) float64 {
	return m.costs[featureUnread]*x[featureUnread] + m.costs[featurePairs]*x[featurePairs]
}

// start returns the part of the time to the first token that doesn't depend on the prompt.
func (m *model) start(inFlight, waiting float64) float64 {
	return m.costs[featureBase] + m.costs[featureInFlight]*inFlight + m.costs[featureWaiting]*waiting
}

// add takes the time to the first token, without its wait, with the features of the prompt at its upstream.
func (m *model) add(x features, y float64, now clock.Millis) {
	// Errors count in proportion to the usual time.
	usual := y
	if m.known {
		usual = 0
		for i, v := range x {
			usual += m.costs[i] * v
		}
		y = min(y, maxRatio*usual)
	}
	weight := 1 / ((usual + minTime) * (usual + minTime))
	f := fade(now-m.fadedAt, learnTime)
	m.own.fadeBy(f)
	m.all.fadeBy(f)
	m.fadedAt = now
	m.own.add(x, y, weight)
	m.all.add(x, y, weight)
	if !m.known {
		m.solveAll()
	}
}

const (
	// maxRatio bounds a sample of the time to the first token by what is usual.
	maxRatio = 4.0
	// minTime is added to times before they are compared, in milliseconds.
	minTime = 10.0
)

// addGap takes the logarithm of a gap between events at the usual pace.
func (m *model) addGap(logGap float64) {
	m.own.gaps++
	m.own.logGap += logGap
	m.all.gaps++
	m.all.logGap += logGap
	m.gap, m.gapKnown = m.all.logGap/m.all.gaps, m.all.gaps >= minSamples
}

// solve estimates the costs from the own sums and the figures of other instances.
func (m *model) solve(peers []float32) {
	m.all = m.own.plus(peers)
	m.solveAll()
}

func (m *model) solveAll() {
	if m.all.gaps >= minSamples {
		m.gap, m.gapKnown = m.all.logGap/m.all.gaps, true
	}
	if m.all.weight < minSamples {
		return
	}
	if costs, ok := fit(&m.all); ok {
		m.costs, m.known = costs, true
	}
}
