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

// doubtfulListing is an entry of an upstream that was removed, which counts from the given time on unless a removal follows.
type doubtfulListing struct {
	catalogue.Listing
	from clock.Millis
}

// outdates reports whether the record is newer than an entry, which the store may have executed late or have in an older copy.
func (r upstreamRecord) outdates(l catalogue.Listing, restores int) bool {
	if r.restores != restores {
		return r.outdatesCopied(l)
	}
	switch {
	case r.incarnation == 0:
		// Nothing tells a late entry from one of another start.
		return false
	case l.Upstream.Incarnation != 0 && l.Upstream.Incarnation != r.incarnation:
		return l.Upstream.Incarnation < r.incarnation
	}
	return l.Sequence < r.sequence || r.leaving && !l.Upstream.Leaving && l.Sequence == r.sequence
}

// outdatesCopied is the same for an entry after a later return of the store: one of an earlier start is outdated, and one by which an upstream
// that was leaving or removed would get new work.
func (r upstreamRecord) outdatesCopied(l catalogue.Listing) bool {
	if l.Upstream.Incarnation != r.incarnation {
		return l.Upstream.Incarnation < r.incarnation
	}
	return (r.leaving || r.removed) && !l.Upstream.Leaving && l.Sequence <= r.sequence
}

// ApplyListings applies a batch of the upstream list and returns the names of the upstreams that were removed. What is known of leaving and
// removed ones holds against older entries. After the store came back from an older copy, upstreams that it lacks stay for listingGrace.
func (v *View) ApplyListings(b archive.Batch[catalogue.Listing], now clock.Millis) (removed []string) {
	restored := observe(&v.listingsEra, b)
	if v.upstreamRecords == nil {
		v.upstreamRecords = map[string]upstreamRecord{}
		v.missingUpstreams = map[string]bool{}
	}
	old, doubtful := v.upstreams, v.doubtfulListings
	if b.Whole || old == nil {
		v.upstreams = map[string]*catalogue.Upstream{}
		v.doubtfulListings = map[string]doubtfulListing{}
	}
	if restored {
		v.missingUntil = now + listingGrace
	}
	v.listRead = true
	for _, l := range b.Items {
		switch record, known := v.upstreamRecords[l.Name]; {
		case l.Removed:
			v.removeUpstream(l.Name, now)
			removed = append(removed, l.Name)
		case !known || !record.outdates(l, v.listingsEra.restores):
			v.addUpstream(l, now)
		case record.removed && (l.Upstream.Incarnation == 0 || l.Upstream.Incarnation == record.incarnation):
			if !b.Whole && record.restores != v.listingsEra.restores {
				// A record after the return of the store is one of an upstream that is still there.
				v.addUpstream(l, now)
				break
			}
			earlier, found := doubtful[l.Name]
			if !found || restored {
				earlier.from = now + restoreGrace
			}
			v.doubtfulListings[l.Name] = doubtfulListing{Listing: l, from: earlier.from}
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
	incarnation := u.Incarnation
	if incarnation == 0 {
		// An entry without its start begins no other lifetime.
		incarnation = v.upstreamRecords[l.Name].incarnation
	}
	v.upstreamRecords[l.Name] = upstreamRecord{incarnation: incarnation, sequence: l.Sequence, leaving: u.Leaving, restores: v.listingsEra.restores}
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

// expireListings removes upstreams that did not register again in time, and takes doubtful entries that no removal followed.
func (v *View) expireListings(now clock.Millis) (removed []string) {
	if len(v.missingUpstreams) > 0 && now >= v.missingUntil {
		for name := range v.missingUpstreams {
			v.removeUpstream(name, now)
			removed = append(removed, name)
		}
	}
	for _, l := range v.doubtfulListings {
		if now >= l.from {
			v.addUpstream(l.Listing, now)
		}
	}
	return removed
}
