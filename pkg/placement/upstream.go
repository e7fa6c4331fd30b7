package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// usualPace is the pace that a machine reports while work takes as long as usual.
	usualPace = 100
	// reportTime is the time after which a reported pace has a third of its weight: other work on the machine comes and goes.
	reportTime clock.Millis = 400
	// meanReportWeight is the weight of what a machine reports at most times against that of a report which was made just now.
	meanReportWeight = 0.5
	// maxReportedPace bounds a reported pace, and its inverse, as a multiple of the usual one.
	maxReportedPace = 10.0
	// newsTTL is the age from which the requests that other instances told of count for less.
	newsTTL clock.Millis = 1500
	// failureTime is the same as reportTime for the ends of attempts.
	failureTime = 2 * clock.Second
	// soundWeight is the number of answers that count for an upstream before anything is known of it.
	soundWeight = 0.5
	// paceTime is the same as reportTime for the samples of the pace of an upstream itself.
	paceTime = 60 * clock.Second
	// kindWeight is the number of samples at which an upstream's own pace counts as much as that of its kind.
	kindWeight = 3.0
	// maxLogPace bounds the logarithm of a single sample of a pace.
	maxLogPace = 1.5
)

// upstream is what is known of one lifetime of an upstream.
type upstream struct {
	name        string
	service     string
	incarnation int64
	// key identifies the lifetime in what instances exchange.
	key uint32
	// seed is the hash by which the upstream is ranked for prompts.
	seed uint64
	// inFlight counts the attempts of this instance, and waiting has those whose answer hasn't begun.
	inFlight int
	waiting  []*Stay
	// reports and reported are the number and the sum of the paces that the machine reported to this instance, both faded to reportedAt.
	reports, reported float64
	reportedAt        clock.Millis
	// usualReports and usualLogPace are the number of these paces and the sum of their logarithms, both faded over paceTime.
	usualReports, usualLogPace float64
	// samples and logPace are the weight and the weighted sum of the logarithms of the upstream's own pace, both faded to sampledAt.
	samples, logPace float64
	sampledAt        clock.Millis
	// answers and failures count the attempts of this instance that were answered, and those that reached no upstream or broke off, both faded to
	// endedAt.
	answers, failures float64
	endedAt           clock.Millis
	kept              map[uint64]clock.Millis
}

func newUpstream(u *catalogue.Upstream) *upstream {
	return &upstream{
		name: u.Name, service: u.Service, incarnation: u.Incarnation, key: lifetimeKey(u), seed: xxhash.Sum64String(u.Name),
	}
}

// report takes the pace that the machine reports, where usualPace is the usual one.
func (k *upstream) report(pace int, now clock.Millis) {
	f := fade(now-k.reportedAt, reportTime)
	ratio := min(max(float64(pace)/usualPace, 1/maxReportedPace), maxReportedPace)
	k.reports, k.reported = k.reports*f+1, k.reported*f+ratio
	f = fade(now-k.reportedAt, paceTime)
	k.usualReports, k.usualLogPace = k.usualReports*f+1, k.usualLogPace*f+math.Log(ratio)
	k.reportedAt = now
}

// sample takes how much longer than expected the upstream took for some work.
func (k *upstream) sample(ratio, weight float64, now clock.Millis) {
	if !(ratio > 0) || !(weight > 0) {
		return
	}
	f := fade(now-k.sampledAt, paceTime)
	k.samples = k.samples*f + weight
	k.logPace = k.logPace*f + weight*min(max(math.Log(ratio), -maxLogPace), maxLogPace)
	k.sampledAt = now
}

// machinePace returns how much longer than usual work takes on the machine now, by the reports to all instances; the older they are, the more
// it is what the machine reports at most times.
func (k *upstream) machinePace(peers []float32, peersAge clock.Millis, now clock.Millis) float64 {
	f := fade(now-k.reportedAt, reportTime)
	n, sum := k.reports*f, k.reported*f
	usual, usualSum := k.usualReports, k.usualLogPace
	if len(peers) == figureCount {
		f = fade(peersAge, reportTime)
		n += float64(peers[figureReports]) * f
		sum += float64(peers[figureReported]) * f
		usual += float64(peers[figureUsualReports])
		usualSum += float64(peers[figureUsualLogPace])
	}
	most := 1.0
	if usual > 0 {
		most = math.Exp(usualSum / (usual + minFigure))
	}
	return (sum + meanReportWeight*most) / (n + meanReportWeight)
}

// ownPace returns how much longer than its kind the upstream takes, by the answers to all instances. Few samples are pulled toward the kind.
func (k *upstream) ownPace(peers []float32, now clock.Millis) float64 {
	f := fade(now-k.sampledAt, paceTime)
	n, sum := k.samples*f, k.logPace*f
	if len(peers) == figureCount {
		n += float64(peers[figureSamples])
		sum += float64(peers[figureLogPace])
	}
	return math.Exp(sum / (n + kindWeight))
}

// known returns the number of requests that all instances together have at the upstream, as far as they have told.
func (k *upstream) known(peers []float32, peersAge clock.Millis) float64 {
	n := float64(k.inFlight)
	if len(peers) == figureCount {
		n += float64(peers[figureInFlight]) * fade(peersAge-newsTTL, newsTTL)
	}
	return n
}

// ended counts an attempt that was answered or failed.
func (k *upstream) ended(answered bool, now clock.Millis) {
	f := fade(now-k.endedAt, failureTime)
	k.answers, k.failures, k.endedAt = k.answers*f, k.failures*f, now
	if answered {
		k.answers++
	} else {
		k.failures++
	}
}

// failureChance returns the chance that an attempt at the upstream fails, by what all instances have seen there lately. One that has crashed
// has nothing in flight, and would look like the best.
func (k *upstream) failureChance(peers []float32, peersAge, now clock.Millis) float64 {
	f := fade(now-k.endedAt, failureTime)
	answers, failures := k.answers*f, k.failures*f
	if len(peers) == figureCount {
		f = fade(peersAge, failureTime)
		answers += float64(peers[figureAnswers]) * f
		failures += float64(peers[figureFailures]) * f
	}
	return failures / (answers + failures + soundWeight)
}
