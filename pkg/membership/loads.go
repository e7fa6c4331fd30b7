package membership

import (
	"context"
	"slices"
	"sync"

	"carawayknot.example/carawayknot/pkg/clock"
)

// LoadsName is the net/rpc service name of Loads.
const LoadsName = "Loads"

const (
	// loadReportPeriod is the interval of load reports, in milliseconds. An upstream reads a long prompt for seconds, so that the
	// reports show the prompt while it is read.
	loadReportPeriod clock.Millis = 350
	// loadReportTTL is how long a load report counts, in milliseconds.
	loadReportTTL clock.Millis = 1500
)

// LoadArgs reports the work in progress of an instance, or of all instances of a zone, in tokens by upstream.
type LoadArgs struct {
	From string
	Zone string
	Work map[string]float32
	// Seen has counters since the start; the packages that count define their keys.
	Seen map[string]float32
	// Figures has more of such sums, by hashes; the packages that use them define both.
	Figures map[uint32][]float32
}

// LoadReply has the work in progress of the other instances, by upstream, and their counters.
type LoadReply struct {
	Work    map[string]float32
	Seen    map[string]float32
	Figures map[uint32][]float32
}

// Loads shares the work in progress at upstreams, and counters about new releases, among all instances: each reports to the leader
// of its availability zone, its longest-running instance, and the leaders exchange the sums of their zones, so that only the cost
// of the leaders grows with the number of instances.
type Loads struct {
	Clock   clock.Clock
	Self    string
	Zone    string
	Network *Network
	// OwnLoad returns the work in progress and the counters of this instance.
	OwnLoad func() (work, seen map[string]float32)
	// SetPeerLoads receives the work and the counters of all other instances; both are nil when the zone leader can't be reached.
	SetPeerLoads func(work, seen map[string]float32)
	// OwnFigures returns the figures of this instance, and SetPeerFigures receives the sums of those of all others, which are nil when the zone
	// leader can't be reached; both are optional.
	OwnFigures     func() map[uint32][]float32
	SetPeerFigures func(figures map[uint32][]float32)
	// ZoneLeaders returns the leader of each zone, by zone name.
	ZoneLeaders func() map[string]string

	mu sync.Mutex
	// zoneReports has the reports of the instances of this zone, otherZoneReports the sums of the other zones.
	zoneReports      map[string]loadReport
	otherZoneReports map[string]loadReport
}

type loadReport struct {
	loadSums
	at clock.Millis
}

// loadSums are sums over instances.
type loadSums struct {
	work, seen map[string]float32
	figures    map[uint32][]float32
}

func newLoadSums() loadSums {
	return loadSums{work: map[string]float32{}, seen: map[string]float32{}, figures: map[uint32][]float32{}}
}

func (s *loadSums) add(more loadSums) {
	addAll(s.work, more.work)
	addAll(s.seen, more.seen)
	for key, figures := range more.figures {
		sum := s.figures[key]
		if len(sum) != len(figures) {
			s.figures[key] = slices.Clone(figures)
			continue
		}
		for i, n := range figures {
			sum[i] += n
		}
	}
}

// own returns the loads of this instance.
func (l *Loads) own() (s loadSums) {
	s.work, s.seen = l.OwnLoad()
	if l.OwnFigures != nil {
		s.figures = l.OwnFigures()
	}
	return s
}

func (l *Loads) setPeers(s loadSums) {
	l.SetPeerLoads(s.work, s.seen)
	if l.SetPeerFigures != nil {
		l.SetPeerFigures(s.figures)
	}
}

// Run exchanges load reports until ctx ends, and returns the error of ctx.
func (l *Loads) Run(ctx context.Context) error {
	for {
		if err := clock.Sleep(ctx, l.Clock, loadReportPeriod); err != nil {
			return err
		}
		l.exchangeOnce(ctx)
	}
}

func (l *Loads) exchangeOnce(ctx context.Context) {
	leaders := l.ZoneLeaders()
	if leader := leaders[l.Zone]; leader != l.Self && leader != "" {
		var reply LoadReply
		own := l.own()
		args := LoadArgs{From: l.Self, Zone: l.Zone, Work: own.work, Seen: own.seen, Figures: own.figures}
		if err := l.Network.CallWithin(ctx, loadReportPeriod, leader, LoadsName+".Tell", args, &reply); err == nil {
			l.setPeers(loadSums{work: reply.Work, seen: reply.Seen, figures: reply.Figures})
		} else {
			l.setPeers(loadSums{})
		}
		return
	}
	var wg sync.WaitGroup
	for zone, leader := range leaders {
		if zone != l.Zone {
			wg.Go(func() { l.exchangeWithZone(ctx, zone, leader) })
		}
	}
	wg.Wait()
	l.setPeers(l.sum(l.Self, true))
}

// exchangeWithZone sends the sum of this zone to the leader of another one and records the sum that it returns.
func (l *Loads) exchangeWithZone(ctx context.Context, zone, leader string) {
	sums := l.sum("", false)
	sums.add(l.own())
	args := LoadArgs{From: l.Self, Zone: l.Zone, Work: sums.work, Seen: sums.seen, Figures: sums.figures}
	var reply LoadReply
	if err := l.Network.CallWithin(ctx, loadReportPeriod, leader, LoadsName+".Tell", args, &reply); err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.otherZoneReports == nil {
		l.otherZoneReports = map[string]loadReport{}
	}
	l.otherZoneReports[zone] = loadReport{loadSums{reply.Work, reply.Seen, reply.Figures}, l.Clock.Now()}
}

// Tell records the report of an instance of this zone, or the sum of another zone, and replies with the work that the sender lacks.
func (l *Loads) Tell(args LoadArgs, reply *LoadReply) error {
	l.mu.Lock()
	report := loadReport{loadSums{args.Work, args.Seen, args.Figures}, l.Clock.Now()}
	sameZone := args.Zone == l.Zone
	if sameZone {
		if l.zoneReports == nil {
			l.zoneReports = map[string]loadReport{}
		}
		l.zoneReports[args.From] = report
	} else {
		if l.otherZoneReports == nil {
			l.otherZoneReports = map[string]loadReport{}
		}
		l.otherZoneReports[args.Zone] = report
	}
	l.mu.Unlock()
	sums := l.sum(args.From, sameZone)
	sums.add(l.own())
	reply.Work, reply.Seen, reply.Figures = sums.work, sums.seen, sums.figures
	return nil
}

// sum adds up the reports of this zone except that of the excluded instance, and the sums of other zones if withOtherZones is set.
func (l *Loads) sum(excluded string, withOtherZones bool) loadSums {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	sums := newLoadSums()
	for name, report := range l.zoneReports {
		if now-report.at > loadReportTTL {
			delete(l.zoneReports, name)
			continue
		}
		if name != excluded {
			sums.add(report.loadSums)
		}
	}
	if !withOtherZones {
		return sums
	}
	for zone, report := range l.otherZoneReports {
		if now-report.at > loadReportTTL {
			delete(l.otherZoneReports, zone)
			continue
		}
		sums.add(report.loadSums)
	}
	return sums
}

func addAll(sum, more map[string]float32) {
	for key, n := range more {
		sum[key] += n
	}
}
