package rating

import "carawayknot.example/carawayknot/pkg/catalogue"

// sentLimit bounds the answers that wait for a rating.
const sentLimit = 16384

// sentKey names one answer that this instance passed on.
type sentKey struct {
	id      string
	version catalogue.VersionID
}

// sentAnswer is an answer and the task it was given for, which the platform doesn't know when it rates.
type sentAnswer struct {
	key  sentKey
	task string
}

// sentRing remembers the latest answers that this instance sent and that were not rated yet.
type sentRing struct {
	keys  map[sentKey]int
	order []sentAnswer
	next  int
}

func (r *sentRing) add(k sentKey, task string) {
	if r.keys == nil {
		r.keys = map[sentKey]int{}
	}
	if _, known := r.keys[k]; known {
		return
	}
	if len(r.order) < sentLimit {
		r.keys[k] = len(r.order)
		r.order = append(r.order, sentAnswer{key: k, task: task})
		return
	}
	if old := r.order[r.next].key; r.keys[old] == r.next {
		delete(r.keys, old)
	}
	r.order[r.next] = sentAnswer{key: k, task: task}
	r.keys[k] = r.next
	r.next = (r.next + 1) % sentLimit
}

// remove takes the answer out and returns its task, and whether it was there.
func (r *sentRing) remove(k sentKey) (task string, found bool) {
	i, found := r.keys[k]
	if !found {
		return "", false
	}
	delete(r.keys, k)
	return r.order[i].task, true
}
