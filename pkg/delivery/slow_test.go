package delivery

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	slowReaders = 1000
	// slowRate is what a slow reader takes, in bytes a second.
	slowRate = 100
	// longToken and longTokens make an answer of one million bytes.
	longToken  = 4000
	longTokens = 250
)

// longEngine answers each request with longTokens tokens, from the offset that it is asked for.
type longEngine struct {
	// rest is what follows the offset in an event.
	rest string
	// sent counts the bytes of tokens that were taken from it.
	sent *atomic.Int64
	open atomic.Int64

	mu   sync.Mutex
	next map[string]int
}

// restart takes back what was sent beyond the offset that a request goes on from, since it was dropped.
func (e *longEngine) restart(id string, from int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent.Add(int64(from-e.next[id]) * longToken)
	e.next[id] = from
}

func (e *longEngine) count(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent.Add(longToken)
	e.next[id]++
}

func (e *longEngine) play(_ int, req *http.Request, conn net.Conn) {
	e.open.Add(1)
	defer e.open.Add(-1)
	defer conn.Close()
	id := req.Header.Get(requestIDHeader)
	if _, err := io.WriteString(conn, strings.Replace(streamHead, "r-1", id, 1)); err != nil {
		return
	}
	from, _ := strconv.Atoi(req.Header.Get("X-Resume-Offset"))
	e.restart(id, from)
	for offset := from; offset < longTokens; offset++ {
		event := `data: {"id":"` + id + `","model":"chai@2","offset":` + strconv.Itoa(offset) + e.rest
		if _, err := io.WriteString(conn, event); err != nil {
			return
		}
		e.count(id)
	}
	_, _ = io.WriteString(conn, strings.Replace(endEvent(longTokens), "r-1", id, 1)+doneEvent)
}

// heldBytes follows the bytes that left engines and did not reach readers, by counting at both ends.
type heldBytes struct {
	sent  atomic.Int64
	taken atomic.Int64
	peak  atomic.Int64
}

func (h *heldBytes) note() {
	held := h.sent.Load() - h.taken.Load()
	if held > h.peak.Load() {
		h.peak.Store(held)
	}
}

func slowCall(s *Send, id string, rec *recorder) *request.Call {
	c := chatCall(s, rec)
	c.Request.ID = id
	c.Request.Deadline = 0
	return c
}

// TestSlowReadersHoldWithinTheBudget gives answers of 1 MB to 1,000 readers at 100 B/s, and one to a reader that is fast.
func TestSlowReadersHoldWithinTheBudget(t *testing.T) {
	limits := settings.Default().Limits
	readers, budget := slowReaders, limits.AnswerBytes
	if testing.Short() || raceEnabled {
		// A tenth of the readers has a tenth of the budget.
		readers, budget = readers/10, budget/10
	}
	synctest.Test(t, func(t *testing.T) {
		held := &heldBytes{}
		engine := &longEngine{rest: `,"choices":[{"index":0,"delta":{"content":"` + strings.Repeat("x", longToken) + `"}}]}` + "\n\n", sent: &held.sent, next: map[string]int{}}
		u := &upstream{play: engine.play}
		s := testSend(u.dial)
		s.Budget = &Budget{Total: budget, PerRequest: limits.RequestBytes}
		kept := &cancels{}
		s.Cancel = kept
		ctx := t.Context()

		var wg sync.WaitGroup
		var whole atomic.Int64
		for i := range readers {
			wg.Go(func() {
				rec := &recorder{pace: func(n int) {
					held.note()
					time.Sleep(time.Duration(n) * time.Second / slowRate)
					held.taken.Add(int64(n))
				}}
				if err := s.Filter(ctx, slowCall(s, fmt.Sprintf("slow-%d", i), rec), nil); err != nil {
					t.Errorf("reader %d: %v", i, err)
				}
				if rec.text.Len() == longToken*longTokens && rec.end != nil {
					whole.Add(1)
				}
			})
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if n := engine.open.Load(); n != 0 {
			t.Errorf("after a minute the engine still holds %d answers that nobody reads", n)
		}
		if n := len(distinct(kept.kept)); n != readers {
			t.Errorf("%d requests were put off, want %d", n, readers)
		}

		fast := &recorder{}
		began := s.Clock.Now()
		if err := s.Filter(ctx, slowCall(s, "fast", fast), nil); err != nil {
			t.Errorf("fast reader: %v", err)
		}
		held.taken.Add(longToken * longTokens)
		if took := s.Clock.Now() - began; took > s.Settings.Times.SlowReader {
			t.Errorf("the fast reader waited %d ms behind the slow ones", took)
		}

		wg.Wait()
		s.Close()
		if n := whole.Load(); n != int64(readers) {
			t.Errorf("%d whole answers, want %d", n, readers)
		}
		t.Logf("held at most %d bytes by the ends, %d by the budget of %d; %d put off", held.peak.Load(), s.Budget.Peak(), budget, len(kept.kept))
		if peak := held.peak.Load(); peak > budget+budget/10 {
			t.Errorf("held %d bytes, the budget is %d", peak, budget)
		}
		if n := s.Budget.Held(); n != 0 {
			t.Errorf("%d bytes are still reserved", n)
		}
	})
}

func distinct(ids []string) map[string]bool {
	out := map[string]bool{}
	for _, id := range ids {
		out[id] = true
	}
	return out
}
