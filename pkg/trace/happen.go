package trace

import (
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// happen carries out an event of the trace.
func (w *world) happen(e *Event) {
	switch e.Kind {
	case EventZoneOut, EventZoneIn:
		out := e.Kind == EventZoneOut
		w.change(catalogue.KindZone, e.Zone, &catalogue.Zone{Name: e.Zone, Out: out})
		w.balanceLater(e.Zone, out)
	case EventZoneStop:
		w.stopZone(e.Zone)
	case EventZoneStart:
		w.startZone(e.Zone)
	case EventRollout:
		w.change(catalogue.KindRollout, e.Rollout.Model, e.Rollout)
	case EventWithdraw:
		v := *w.config.Versions[e.Version]
		v.Withdrawn = true
		w.change(catalogue.KindVersion, string(e.Version), &v)
	case EventLoad:
		n := w.byName[e.Upstream]
		n.versions = append(n.versions, e.Version)
		w.listLater()
	case EventUnload:
		n := w.byName[e.Upstream]
		n.versions = slices.DeleteFunc(n.versions, func(v catalogue.VersionID) bool { return v == e.Version })
		w.listLater()
	case EventTurn:
		w.turn(e.Version, e.Change)
	case EventCold:
		n := w.byName[e.Upstream]
		n.cold, n.answers = true, 0
	case EventFail, EventHeal:
		for _, n := range w.engines {
			n.failing = e.Kind == EventFail
		}
	}
}

func (w *world) stopZone(zone string) {
	w.zonesStopped[zone] = true
	for _, n := range w.engines {
		if n.spec.Zone == zone {
			n.restart(0)
			n.stopped = true
		}
	}
	w.listLater()
	w.balanceLater(zone, true)
}

func (w *world) startZone(zone string) {
	delete(w.zonesStopped, zone)
	for _, n := range w.engines {
		if n.spec.Zone == zone {
			n.stopped = false
		}
	}
	w.listLater()
}

// balanceLater makes the balancer stop or start sending to the instances of the zone.
func (w *world) balanceLater(zone string, stop bool) {
	w.loop.at(w.loop.clock.Now()+balancerDelay, func() { w.balancerStopped[zone] = stop })
}
