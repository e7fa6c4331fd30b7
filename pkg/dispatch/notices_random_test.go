package dispatch

import (
	"math/rand"
	"testing"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// said is what the upstream of a history said: that it wants nothing until a time, or that it leaves.
type said struct {
	incarnation int64
	at, until   clock.Millis
	leaving     bool
}

// Guards against a request to an upstream that wants none, over random histories of its entry, its lifetimes and its answers, which come late and
// overtake each other.
func TestNoRequestBeforeTheTimeThatWasNamed(t *testing.T) {
	const (
		histories = 2000
		steps     = 200
		// answerTime is the longest time that an answer takes.
		answerTime clock.Millis = 400
	)
	for seed := range int64(histories) {
		rng := rand.New(rand.NewSource(seed))
		n := &Notices{Log: logr.Discard()}
		incarnation, listed, born := int64(1), true, true
		var heard []said
		type answer struct {
			at     clock.Millis
			u      catalogue.Upstream
			notice request.Notice
			said   said
		}
		var due []answer
		for now := clock.Millis(1); now < steps*50; now += clock.Millis(1 + rng.Intn(100)) {
			for i := 0; i < len(due); i++ {
				if due[i].at <= now {
					n.Observe(&due[i].u, due[i].notice, due[i].at)
					heard = append(heard, due[i].said)
					due = append(due[:i], due[i+1:]...)
					i--
				}
			}
			switch rng.Intn(12) {
			case 0:
				listed = !listed
			case 1:
				born = !born
			case 2:
				if rng.Intn(4) == 0 {
					incarnation++
					born = true
				}
			case 3:
				n.Forget("other", now)
			}
			u := catalogue.Upstream{Name: "u", Incarnation: incarnation}
			if !born {
				u.Incarnation = 0
			}
			if !listed {
				continue
			}
			open, _ := n.Open([]*catalogue.Upstream{&u}, now)
			if takes := n.Takes(&u, now); takes != (len(open) > 0) {
				t.Fatalf("seed %d: Takes() = %t and Open() returned %d upstreams", seed, takes, len(open))
			}
			if len(open) == 0 {
				continue
			}
			for _, s := range heard {
				if s.incarnation == incarnation && (s.leaving || now < s.until) {
					t.Fatalf("seed %d: a request at %d, after %+v was heard in lifetime %d", seed, now, s, incarnation)
				}
			}
			if rng.Intn(6) > 0 {
				continue
			}
			notice := request.Notice{PauseFor: clock.Millis(rng.Intn(3000))}
			if rng.Intn(20) == 0 {
				notice = request.Notice{Leaving: true}
			}
			at := now + clock.Millis(rng.Intn(int(answerTime)))
			s := said{incarnation: incarnation, at: at, until: at + notice.PauseFor, leaving: notice.Leaving}
			due = append(due, answer{at, u, notice, s})
		}
	}
}
