package tasting

import "carawayknot.example/carawayknot/pkg/catalogue"

// sentLimit bounds the answers that wait for a rating.
const sentLimit = 16384

// sentKey names one answer that this instance passed on.
type sentKey struct {
	id      string
	version catalogue.VersionID
}

// sentRing remembers the latest answers that this instance sent and that were not rated yet.
type sentRing struct {
	keys  map[sentKey]int
	order []sentKey
	next  int
}

func (r *sentRing) add(k sentKey) {
	if r.keys == nil {
		r.keys = map[sentKey]int{}
	}
	if _, known := r.keys[k]; known {
		return
	}
	if len(r.order) < sentLimit {
		r.keys[k] = len(r.order)
		r.order = append(r.order, k)
		return
	}
	if old := r.order[r.next]; r.keys[old] == r.next {
		delete(r.keys, old)
	}
	r.order[r.next] = k
	r.keys[k] = r.next
	r.next = (r.next + 1) % sentLimit
}

// remove tells whether the answer was there, and takes it out.
func (r *sentRing) remove(k sentKey) bool {
	if _, known := r.keys[k]; !known {
		return false
	}
	delete(r.keys, k)
	return true
}
