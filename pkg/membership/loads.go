package membership

import (
	"context"
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
}

// LoadReply has the work in progress of the other instances, by upstream, and their counters.
type LoadReply struct {
	Work map[string]float32
	Seen map[string]float32
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
	// ZoneLeaders returns the leader of each zone, by zone name.
	ZoneLeaders func() map[string]string

	mu sync.Mutex
	// zoneReports has the reports of the instances of this zone, otherZoneReports the sums of the other zones.
	zoneReports      map[string]loadReport
	otherZoneReports map[string]loadReport
}

type loadReport struct {
	work map[string]float32
	seen map[string]float32
	at   clock.Millis
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
		args := LoadArgs{From: l.Self, Zone: l.Zone}
		args.Work, args.Seen = l.OwnLoad()
		if err := l.Network.CallWithin(ctx, loadReportPeriod, leader, LoadsName+".Tell", args, &reply); err == nil {
			l.SetPeerLoads(reply.Work, reply.Seen)
		} else {
			l.SetPeerLoads(nil, nil)
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
	work, seen := l.sum(l.Self, true)
	l.SetPeerLoads(work, seen)
}

// exchangeWithZone sends the sum of this zone to the leader of another one and records the sum that it returns.
func (l *Loads) exchangeWithZone(ctx context.Context, zone, leader string) {
	args := LoadArgs{From: l.Self, Zone: l.Zone}
	args.Work, args.Seen = l.sum("", false)
	l.addOwnLoad(args.Work, args.Seen)
	var reply LoadReply
	if err := l.Network.CallWithin(ctx, loadReportPeriod, leader, LoadsName+".Tell", args, &reply); err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.otherZoneReports == nil {
		l.otherZoneReports = map[string]loadReport{}
	}
	l.otherZoneReports[zone] = loadReport{work: reply.Work, seen: reply.Seen, at: l.Clock.Now()}
}

// Tell records the report of an instance of this zone, or the sum of another zone, and replies with the work that the sender lacks.
func (l *Loads) Tell(args LoadArgs, reply *LoadReply) error {
	l.mu.Lock()
	report := loadReport{work: args.Work, seen: args.Seen, at: l.Clock.Now()}
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
	reply.Work, reply.Seen = l.sum(args.From, sameZone)
	l.addOwnLoad(reply.Work, reply.Seen)
	return nil
}

func (l *Loads) addOwnLoad(work, seen map[string]float32) {
	ownWork, ownSeen := l.OwnLoad()
	addAll(work, ownWork)
	addAll(seen, ownSeen)
}

// sum adds up the reports of this zone except that of the excluded instance, and the sums of other zones if withOtherZones is set.
func (l *Loads) sum(excluded string, withOtherZones bool) (work, seen map[string]float32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	work, seen = map[string]float32{}, map[string]float32{}
	for name, report := range l.zoneReports {
		if now-report.at > loadReportTTL {
			delete(l.zoneReports, name)
			continue
		}
		if name != excluded {
			addAll(work, report.work)
			addAll(seen, report.seen)
		}
	}
	if !withOtherZones {
		return work, seen
	}
	for zone, report := range l.otherZoneReports {
		if now-report.at > loadReportTTL {
			delete(l.otherZoneReports, zone)
			continue
		}
		addAll(work, report.work)
		addAll(seen, report.seen)
	}
	return work, seen
}

func addAll(sum, more map[string]float32) {
	for key, n := range more {
		sum[key] += n
	}
}
