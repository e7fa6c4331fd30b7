package rating

import "carawayknot.example/carawayknot/pkg/catalogue"

// maxSentAnswers bounds the answers that may still be rated.
const maxSentAnswers = 16384

// sentKey identifies an answer that this instance sent; a request with several versions has several answers.
type sentKey struct {
	id      string
	version catalogue.VersionID
}

// sentAnswer is an answer and the task of its request, which the platform's ratings lack.
type sentAnswer struct {
	key  sentKey
	task string
}

// sentRing is a ring buffer of the latest answers that this instance sent, with an index of those without a rating.
type sentRing struct {
	keys    map[sentKey]int
	answers []sentAnswer
	next    int
}

func (r *sentRing) add(k sentKey, task string) {
	if r.keys == nil {
		r.keys = map[sentKey]int{}
	}
	if _, exists := r.keys[k]; exists {
		return
	}
	if len(r.answers) < maxSentAnswers {
		r.keys[k] = len(r.answers)
		r.answers = append(r.answers, sentAnswer{key: k, task: task})
		return
	}
	if old := r.answers[r.next].key; r.keys[old] == r.next {
		delete(r.keys, old)
	}
	r.answers[r.next] = sentAnswer{key: k, task: task}
	r.keys[k] = r.next
	r.next = (r.next + 1) % maxSentAnswers
}

// remove removes the answer and returns its task, and whether it was there.
func (r *sentRing) remove(k sentKey) (task string, found bool) {
	i, found := r.keys[k]
	if !found {
		return "", false
	}
	delete(r.keys, k)
	return r.answers[i].task, true
}
