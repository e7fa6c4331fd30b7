package membership

import (
	"slices"
	"strings"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

const (
	// feedFanout is the number of instances that read from the same one.
	feedFanout = 2
	// headsPerZone is the number of instances of another zone that the first one of a zone may read from.
	headsPerZone = 2
)

// feedOrder is the order in which instances pass on what the store says. Those of an availability zone form a tree by the ranks of their
// names, so that a restart moves none: the first one reads the store, or from the first of another zone, and feedFanout read from each.
type feedOrder struct {
	// zone has the instances of the zone in order, this one at position.
	zone     []string
	position int
	// readsStore reports whether the first instance of the zone reads the store.
	readsStore bool
	// heads has the first instances of the zones that read the store, this zone excluded, and others those of all other zones.
	heads  []string
	others []string
}

// newFeedOrder returns the order for an instance, which need not be among the members yet; the first instances of storeZones zones read the
// store.
func newFeedOrder(self catalogue.Member, members []catalogue.Member, storeZones int) *feedOrder {
	byZone := map[string][]catalogue.Member{self.Zone: {self}}
	for _, m := range members {
		if m.Name != self.Name {
			byZone[m.Zone] = append(byZone[m.Zone], m)
		}
	}
	zones := make([]string, 0, len(byZone))
	for zone := range byZone {
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b string) int { return compareZones(a, b, byZone) })
	o := &feedOrder{}
	for i, zone := range zones {
		ranked := memberNames(Rank("feed "+zone, byZone[zone]))
		if zone == self.Zone {
			o.zone, o.position, o.readsStore = ranked, slices.Index(ranked, self.Name), i < storeZones
			continue
		}
		heads := ranked[:min(headsPerZone, len(ranked))]
		o.others = append(o.others, heads...)
		if i < storeZones {
			o.heads = append(o.heads, heads...)
		}
	}
	// Different zones read from different instances.
	if n := len(o.heads); n > 0 {
		turn := int(Weight("heads", self.Zone) % uint64(n))
		o.heads = append(slices.Clone(o.heads[turn:]), o.heads[:turn]...)
	}
	return o
}

// compareZones orders zones with enough instances to read from each other first, and then by name.
func compareZones(a, b string, byZone map[string][]catalogue.Member) int {
	largeA, largeB := len(byZone[a]) >= minZoneSize, len(byZone[b]) >= minZoneSize
	if largeA != largeB {
		if largeA {
			return -1
		}
		return 1
	}
	return strings.Compare(a, b)
}

func memberNames(members []catalogue.Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	return names
}

// parents returns the instances between this one and the first of the zone, the nearest first.
func (o *feedOrder) parents() []string {
	var out []string
	for at := o.position; at > 0; {
		at = (at - 1) / feedFanout
		out = append(out, o.zone[at])
	}
	return out
}

// before returns the instances of the zone before this one.
func (o *feedOrder) before() []string { return o.zone[:o.position] }
