package trace

import (
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// applyEvent applies an event of the trace to the simulated deployment.
func (env *environment) applyEvent(e *Event) {
	switch e.Kind {
	case EventZoneOut, EventZoneIn:
		out := e.Kind == EventZoneOut
		env.updateConfig(catalogue.KindZone, e.Zone, &catalogue.Zone{Name: e.Zone, Out: out})
		env.scheduleBalancer(e.Zone, out)
	case EventZoneStop:
		env.stopZone(e.Zone)
	case EventZoneStart:
		env.startZone(e.Zone)
	case EventRollout:
		env.updateConfig(catalogue.KindRollout, e.Rollout.Model, e.Rollout)
	case EventWithdraw:
		v := *env.config.Versions[e.Version]
		v.Withdrawn = true
		env.updateConfig(catalogue.KindVersion, string(e.Version), &v)
	case EventLoad:
		eng := env.engineByName[e.Upstream]
		eng.versions = append(eng.versions, e.Version)
		env.scheduleListing()
	case EventUnload:
		eng := env.engineByName[e.Upstream]
		eng.versions = slices.DeleteFunc(eng.versions, func(v catalogue.VersionID) bool { return v == e.Version })
		env.scheduleListing()
	case EventQualityShift:
		env.shiftQuality(e.Version, e.Change)
	case EventColdStart:
		eng := env.engineByName[e.Upstream]
		eng.cold, eng.answers = true, 0
	case EventFail, EventHeal:
		for _, eng := range env.engines {
			eng.failing = e.Kind == EventFail
		}
	}
}

func (env *environment) stopZone(zone string) {
	env.stoppedZones[zone] = true
	for _, eng := range env.engines {
		if eng.spec.Zone == zone {
			eng.restart(0)
			eng.stopped = true
		}
	}
	env.scheduleListing()
	env.scheduleBalancer(zone, true)
}

func (env *environment) startZone(zone string) {
	delete(env.stoppedZones, zone)
	for _, eng := range env.engines {
		if eng.spec.Zone == zone {
			eng.stopped = false
		}
	}
	env.scheduleListing()
}

// scheduleBalancer makes the load balancer exclude or include the instances of the zone after balancerDelay.
func (env *environment) scheduleBalancer(zone string, stop bool) {
	env.loop.schedule(env.loop.clock.Now()+balancerDelay, func() { env.balancerExcluded[zone] = stop })
}
