package placement

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Figures are sums over instances, by the hash of what they describe.
type Figures = map[uint32][]float32

// The figures of an upstream.
const (
	// figureWork is the work that waits there, in milliseconds at the usual pace, and figureInFlight the attempts there.
	figureWork = iota
	figureInFlight
	// figureReports and figureReported are the number and the sum of the paces that the machine reported.
	figureReports
	figureReported
	// figureUsualReports and figureUsualLogPace are the number of these paces and the sum of their logarithms over a longer time.
	figureUsualReports
	figureUsualLogPace
	// figureSamples and figureLogPace are the weight and the sum of the logarithms of the upstream's own pace.
	figureSamples
	figureLogPace
	// figureAnswers and figureFailures are the numbers of attempts that were answered lately, and that failed.
	figureAnswers
	figureFailures
	figureCount
)

// minFigure is the amount below which a figure counts as none.
const minFigure = 0.01

func figureKey(kind, name string) uint32 { return uint32(xxhash.Sum64String(kind + " " + name)) }

// lifetimeKey identifies one lifetime of an upstream, so that the figures of an earlier one don't count for it.
func lifetimeKey(u *catalogue.Upstream) uint32 {
	return figureKey("upstream", u.Name+" "+strconv.FormatInt(u.Incarnation, 36))
}

// shorten drops the digits of a figure that no prediction needs, which shortens its encoding.
func shorten(v float64) float32 {
	if math.Abs(v) < minFigure {
		return 0
	}
	const droppedBits = 15
	return math.Float32frombits(math.Float32bits(float32(v)) &^ (1<<droppedBits - 1))
}

// Own returns the figures of this instance about the services that are placed by predictions.
func (p *Planner) Own(now clock.Millis) Figures {
	if p == nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	own := Figures{}
	for _, k := range p.upstreams {
		if s := p.services[k.service]; s == nil || !s.paced {
			continue
		}
		report, pace, ends := fade(now-k.reportedAt, reportTime), fade(now-k.sampledAt, paceTime), fade(now-k.endedAt, failureTime)
		f := []float32{
			shorten(k.ownWork(now)), float32(k.inFlight), shorten(k.reports * report), shorten(k.reported * report),
			shorten(k.usualReports), shorten(k.usualLogPace),
			shorten(k.samples * pace), shorten(k.logPace * pace), shorten(k.answers * ends), shorten(k.failures * ends),
		}
		if !isZero(f) {
			own[k.key] = f
		}
	}
	for _, s := range p.services {
		if !s.paced {
			continue
		}
		for _, m := range s.models {
			if f := m.own.figures(); !isZero(f) {
				own[m.key] = f
			}
		}
	}
	return own
}

func isZero(figures []float32) bool {
	for _, v := range figures {
		if v != 0 {
			return false
		}
	}
	return true
}

// SetPeers replaces the figures of all other instances; nil means that nothing was heard of them.
func (p *Planner) SetPeers(peers Figures, now clock.Millis) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if peers == nil {
		// What was heard before grows old, which the forecasts allow for.
		return
	}
	p.peers, p.peersAt = peers, now
	for _, s := range p.services {
		for _, m := range s.models {
			m.solve(peers[m.key])
		}
	}
}

// peerWork returns the work of other instances that waits at the upstream, in milliseconds at the usual pace; it is worked off at pace.
func (p *Planner) peerWork(figures []float32, pace float64, now clock.Millis) float64 {
	if len(figures) != figureCount {
		return 0
	}
	return max(0, float64(figures[figureWork])-float64(now-p.peersAt)/pace)
}
