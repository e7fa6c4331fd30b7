package gateway

import (
	"carawayknot.example/carawayknot/pkg/archive"
	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// listingGrace is the time after the return of the store in which upstreams whose entries it lost register again.
	listingGrace = 2 * clock.Second
	// removedMemory is how long an upstream that was removed is remembered, for stores that come back with its entry.
	removedMemory = 60 * clock.Second
)

// upstreamRecord is the last entry that was read of an upstream, or its removal.
type upstreamRecord struct {
	incarnation, sequence int64
	leaving, removed      bool
	// restores is the topicEra.restores of the entry or the removal, and removedAt the time of the latter.
	restores  int
	removedAt clock.Millis
}

// outdates reports whether an entry after a later return of the store is older than the record: one of an earlier start of the
// upstream, or one by which an upstream that was leaving or removed would get new work.
func (r upstreamRecord) outdates(l catalogue.Listing, restores int) bool {
	switch {
	case r.restores == restores:
		return false
	case l.Upstream.Incarnation != r.incarnation:
		return l.Upstream.Incarnation < r.incarnation
	}
	return (r.leaving || r.removed) && !l.Upstream.Leaving && l.Sequence <= r.sequence
}

// ApplyListings applies a batch of the upstream list and returns the names of the upstreams that were removed. After the store came
// back from an older copy, upstreams that it lacks stay for listingGrace, and what was known of leaving and removed ones holds.
func (v *View) ApplyListings(b archive.Batch[catalogue.Listing], now clock.Millis) (removed []string) {
	restored := observe(&v.listingsEra, b)
	if v.upstreamRecords == nil {
		v.upstreamRecords = map[string]upstreamRecord{}
		v.missingUpstreams = map[string]bool{}
	}
	old := v.upstreams
	if b.Whole || old == nil {
		v.upstreams = map[string]*catalogue.Upstream{}
		v.doubtfulListings = map[string]catalogue.Listing{}
	}
	if restored {
		v.missingUntil, v.doubtfulUntil = now+listingGrace, now+restoreGrace
	}
	v.listRead = true
	for _, l := range b.Items {
		switch record, known := v.upstreamRecords[l.Name]; {
		case l.Removed:
			v.removeUpstream(l.Name, now)
			removed = append(removed, l.Name)
		case !known || !record.outdates(l, v.listingsEra.restores):
			v.addUpstream(l, now)
		case record.removed && l.Upstream.Incarnation == record.incarnation:
			// A record after the return of the store is one of an upstream that is still there.
			if b.Whole {
				v.doubtfulListings[l.Name] = l
			} else {
				v.addUpstream(l, now)
			}
		case b.Whole && old[l.Name] != nil:
			v.upstreams[l.Name] = old[l.Name]
		}
	}
	if b.Whole {
		removed = append(removed, v.keepMissing(old, restored, now)...)
	}
	return removed
}

// keepMissing handles the upstreams that a whole read lacks: they are kept if the store lost their entries, and removed otherwise.
func (v *View) keepMissing(old map[string]*catalogue.Upstream, restored bool, now clock.Millis) (removed []string) {
	for name, u := range old {
		switch {
		case v.upstreams[name] != nil:
			delete(v.missingUpstreams, name)
		case restored || v.missingUpstreams[name]:
			v.upstreams[name] = u
			v.missingUpstreams[name] = true
		default:
			v.removeUpstream(name, now)
			removed = append(removed, name)
		}
	}
	return removed
}

func (v *View) addUpstream(l catalogue.Listing, now clock.Millis) {
	u := *l.Upstream
	if l.ColdFor > 0 {
		u.ColdUntil = now + l.ColdFor
	}
	v.upstreams[l.Name] = &u
	v.upstreamRecords[l.Name] = upstreamRecord{incarnation: u.Incarnation, sequence: l.Sequence, leaving: u.Leaving, restores: v.listingsEra.restores}
	delete(v.missingUpstreams, l.Name)
	delete(v.doubtfulListings, l.Name)
}

func (v *View) removeUpstream(name string, now clock.Millis) {
	delete(v.upstreams, name)
	delete(v.missingUpstreams, name)
	delete(v.doubtfulListings, name)
	for other, record := range v.upstreamRecords {
		if record.removed && now-record.removedAt > removedMemory {
			delete(v.upstreamRecords, other)
		}
	}
	if record, known := v.upstreamRecords[name]; known {
		record.removed, record.removedAt, record.restores = true, now, v.listingsEra.restores
		v.upstreamRecords[name] = record
	}
}

// expireListings removes upstreams that did not register again in time, and takes entries of the copy that no removal followed.
func (v *View) expireListings(now clock.Millis) (removed []string) {
	if len(v.missingUpstreams) > 0 && now >= v.missingUntil {
		for name := range v.missingUpstreams {
			v.removeUpstream(name, now)
			removed = append(removed, name)
		}
	}
	if len(v.doubtfulListings) > 0 && now >= v.doubtfulUntil {
		for _, l := range v.doubtfulListings {
			v.addUpstream(l, now)
		}
	}
	return removed
}
