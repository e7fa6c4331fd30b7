package duty

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	testLease      clock.Millis = 3000
	testWindow     clock.Millis = 1000
	historySeeds                = 150
	historyLength               = 90 * clock.Second
	recoveryLength              = 40 * clock.Second
	instances                   = 4
	// maxCallDelay is how long after it was sent a call without an answer may be carried out.
	maxCallDelay = 4 * clock.Second
)

// history is a random run of some instances against a store and a platform with faults.
type history struct {
	r        *rand.Rand
	clock    *clock.Manual
	fenced   bool
	store    *memoryStore
	platform *dutyPlatform
	nodes    []*historyNode
	faults   bool
}

// historyNode is an instance; a restart replaces its keeper.
type historyNode struct {
	h      *history
	name   string
	keeper *Keeper
	cut    bool
	nextAt clock.Millis
	// frozenUntil is when the instance goes on.
	frozenUntil clock.Millis
	// first is the first window to report under token if nobody has recorded one.
	token, first int64
}

func newHistory(seed uint64, fenced bool) *history {
	h := &history{r: rand.New(rand.NewPCG(seed, 7)), clock: clock.NewManual(100_000), fenced: fenced, faults: true}
	h.store = &memoryStore{h: h}
	h.platform = &dutyPlatform{h: h, tokens: map[int64]string{}, counts: map[int64]int64{}}
	for i := range instances {
		n := &historyNode{h: h, name: fmt.Sprintf("n%d", i)}
		n.restart()
		h.nodes = append(h.nodes, n)
	}
	return h
}

func (n *historyNode) restart() {
	n.keeper = &Keeper{
		Clock: n.h.clock, Log: logr.Discard(), Store: nodeStore{n.h.store, n}, Self: n.name, ID: fmt.Sprintf("%s-%d", n.name, n.h.r.Uint64()),
		Lease: testLease, FencingRequired: n.h.fenced, Candidate: func(clock.Millis) bool { return true },
	}
	n.nextAt, n.frozenUntil = n.h.clock.Now(), 0
}

func (h *history) chance(percent int) bool { return h.faults && h.r.IntN(1000) < 10*percent }

// run plays the history for a time and returns the first broken rule.
func (h *history) run(length clock.Millis) error {
	for end := h.clock.Now() + length; h.clock.Now() < end; {
		h.clock.Advance(clock.Millis(10 + h.r.IntN(120)))
		h.store.runLate()
		h.platform.runLate()
		if h.chance(1) && h.r.IntN(6) == 0 {
			h.store.restore()
		}
		for _, n := range h.nodes {
			n.step()
		}
		if h.platform.broken != nil {
			return h.platform.broken
		}
	}
	return nil
}

func (n *historyNode) step() {
	h, now := n.h, n.h.clock.Now()
	switch {
	case h.chance(1) && h.r.IntN(4) == 0:
		n.restart()
	case h.chance(1) && h.r.IntN(4) == 0:
		n.frozenUntil = now + clock.Millis(h.r.IntN(12_000))
	case h.chance(1) && h.r.IntN(4) == 0:
		n.cut = !n.cut
	case !h.faults:
		n.cut, n.frozenUntil = false, 0
	}
	if now < n.frozenUntil {
		return
	}
	if now >= n.nextAt {
		n.nextAt = h.clock.Now() + max(1, n.keeper.step(context.Background()))
	}
	if h.chance(1) && h.r.IntN(10) == 0 {
		_ = n.keeper.release(context.Background())
		n.nextAt = h.clock.Now() + 500
	}
	n.report()
}

// windowState is the state of the duty in the history: reports are recorded before they are sent, as usage is.
type windowState struct {
	Era, Next   int64
	Sent, Count int64
}

// report records and sends the next window with a count that nobody else could guess.
func (n *historyNode) report() {
	h, k := n.h, n.keeper
	lease, held := k.Held(h.clock.Now())
	if !held || h.r.IntN(3) > 0 {
		return
	}
	b, ok := k.State("Windows")
	if !ok {
		return
	}
	window := int64(h.clock.Now() / testWindow)
	if n.token != lease.Token {
		n.token, n.first = lease.Token, window+1
	}
	s := windowState{Era: lease.Era(), Next: n.first}
	if len(b) > 0 {
		if err := json.Unmarshal(b, &s); err != nil {
			h.platform.broken = err
			return
		}
	}
	if s.Era != lease.Era() {
		s = windowState{Era: lease.Era(), Next: max(s.Next, n.first)}
	}
	if s.Next < window {
		s.Sent, s.Count, s.Next = s.Next, h.r.Int64(), s.Next+1
		b, _ := json.Marshal(s)
		if k.write(context.Background(), lease, "Windows", b) != nil {
			return
		}
	}
	if s.Sent > 0 {
		g := &Guard{Keeper: k, Caller: &historyCaller{n}}
		_ = g.Usage(context.Background(), lease, UsageReport{Window: s.Sent, Counts: map[string]int64{"w": s.Count}})
	}
}

type historyCaller struct{ *historyNode }

// Usage carries the call out, at once or later.
func (c *historyCaller) Usage(_ context.Context, lease Lease, report UsageReport) error {
	h := c.h
	call := dutyCall{machine: c.name, id: c.keeper.ID, token: lease.Token, window: report.Window, count: report.Counts["w"]}
	if h.chance(3) {
		call.at = h.clock.Now() + clock.Millis(h.r.IntN(int(maxCallDelay)))
		h.platform.late = append(h.platform.late, call)
		return errors.New("no answer")
	}
	call.at = h.clock.Now()
	return h.platform.take(call)
}

func (c *historyCaller) Scale(context.Context, Lease, ScaleOrder) error { return nil }

type dutyCall struct {
	at            clock.Millis
	machine, id   string
	token         int64
	window, count int64
}

// dutyPlatform takes calls and notes the first broken rule.
type dutyPlatform struct {
	h       *history
	highest int64
	late    []dutyCall
	// tokens has the process that sent each token, and counts the count of each window.
	tokens map[int64]string
	counts map[int64]int64
	// turns has the last call of each turn of a holder.
	turns  []dutyCall
	broken error
}

func (p *dutyPlatform) take(c dutyCall) error {
	if p.h.fenced && c.token < p.highest {
		return &FencedError{Token: c.token}
	}
	if c.token < p.highest {
		p.broken = errors.Newf("token %d of %s after %d", c.token, c.machine, p.highest)
	}
	p.highest = c.token
	if id, known := p.tokens[c.token]; known && id != c.id {
		p.broken = errors.Newf("token %d of %s and %s", c.token, id, c.id)
	}
	p.tokens[c.token] = c.id
	if count, known := p.counts[c.window]; known && count != c.count {
		p.broken = errors.Newf("two counts for window %d", c.window)
	}
	p.counts[c.window] = c.count
	if n := len(p.turns); n == 0 || p.turns[n-1].machine != c.machine {
		if n > 1 && p.turns[n-2].machine == c.machine && c.at-p.turns[n-2].at < testLease {
			p.broken = errors.Newf("%s acts again after %d ms and %s", c.machine, c.at-p.turns[n-2].at, p.turns[n-1].machine)
		}
		p.turns = append(p.turns, c)
	}
	p.turns[len(p.turns)-1] = c
	return nil
}

func (p *dutyPlatform) runLate() {
	var waiting []dutyCall
	for _, c := range p.late {
		if c.at > p.h.clock.Now() {
			waiting = append(waiting, c)
			continue
		}
		_ = p.take(c)
	}
	p.late = waiting
}

// memoryStore is a Store whose answers may be lost, whose appends may be late, and which may come back from an older copy.
type memoryStore struct {
	h       *history
	era     int64
	records [][]byte
	ends    []clock.Millis
	late    []lateAppend
}

type lateAppend struct {
	at     clock.Millis
	offset int64
	value  []byte
}

func (s *memoryStore) append(offset int64, value []byte) bool {
	if int64(len(s.records)) != offset {
		return false
	}
	s.records, s.ends = append(s.records, value), append(s.ends, s.h.clock.Now())
	return true
}

func (s *memoryStore) restore() {
	age := clock.Millis(s.h.r.IntN(6000))
	for len(s.ends) > 0 && s.h.clock.Now()-s.ends[len(s.ends)-1] < age {
		s.records, s.ends = s.records[:len(s.records)-1], s.ends[:len(s.ends)-1]
	}
	s.era++
}

func (s *memoryStore) runLate() {
	var waiting []lateAppend
	for _, a := range s.late {
		if a.at > s.h.clock.Now() {
			waiting = append(waiting, a)
			continue
		}
		s.append(a.offset, a.value)
	}
	s.late = waiting
}

// nodeStore is the store as one instance reaches it.
type nodeStore struct {
	*memoryStore
	node *historyNode
}

// delay lets some time pass in a call and reports whether the store can be reached.
func (s nodeStore) delay() bool {
	if s.h.chance(10) {
		s.h.clock.Advance(clock.Millis(s.h.r.IntN(900)))
		s.h.store.runLate()
		s.h.platform.runLate()
	}
	return !s.node.cut && !s.h.chance(3)
}

func (s nodeStore) Load(context.Context) (Position, []byte, error) {
	if !s.delay() {
		return Position{}, nil, errors.New("unreachable")
	}
	end := Position{Era: s.era, Offset: int64(len(s.records))}
	if end.Offset == 0 {
		return end, nil, nil
	}
	return end, s.records[end.Offset-1], nil
}

func (s nodeStore) Append(_ context.Context, at Position, value []byte) (Position, error) {
	if !s.delay() {
		return Position{}, errors.New("unreachable")
	}
	if s.h.chance(4) {
		s.late = append(s.late, lateAppend{at: s.h.clock.Now() + clock.Millis(s.h.r.IntN(4000)), offset: at.Offset, value: value})
		return Position{}, errors.New("no answer")
	}
	if !s.append(at.Offset, value) {
		return Position{}, &ConflictError{At: at}
	}
	era := s.era
	if !s.delay() {
		return Position{}, errors.New("the answer was lost")
	}
	return Position{Era: era, Offset: at.Offset + 1}, nil
}

// TestHistories plays random kills, freezes, cuts, lost and late calls and older copies of the store: holders act in order, no token has two
// senders, no window gets two counts, and afterwards reports go on.
func TestHistories(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		t.Run(fmt.Sprintf("fenced %v", fenced), func(t *testing.T) {
			holders := 0
			for seed := range uint64(historySeeds) {
				h := newHistory(seed, fenced)
				if err := h.run(historyLength); err != nil {
					t.Fatalf("seed %d at %d: %v", seed, h.clock.Now(), err)
				}
				h.faults = false
				before := len(h.platform.counts)
				if err := h.run(recoveryLength); err != nil {
					t.Fatalf("seed %d at %d: %v", seed, h.clock.Now(), err)
				}
				if diff := cmp.Diff(true, len(h.platform.counts) > before+10); diff != "" {
					t.Fatalf("seed %d: reports went on (-want +got):\n%s", seed, diff)
				}
				holders += len(h.platform.turns)
			}
			t.Logf("%d turns of holders", holders)
		})
	}
}
