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
	slowReaders              = 1000
	slowReaderBytesPerSecond = 100
	// tokenBytes and tokensPerResponse make a response of one million bytes.
	tokenBytes        = 4000
	tokensPerResponse = 250
)

// longEngine answers each request with tokensPerResponse tokens, starting at the requested offset.
type longEngine struct {
	// eventSuffix is the part of an event after the offset.
	eventSuffix string
	// sent counts the token bytes that were read from the engine.
	sent        *atomic.Int64
	openStreams atomic.Int64

	mu   sync.Mutex
	next map[string]int
}

// restart subtracts what was sent beyond the offset at which a request resumes, because the router dropped it.
func (e *longEngine) restart(id string, from int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent.Add(int64(from-e.next[id]) * tokenBytes)
	e.next[id] = from
}

func (e *longEngine) count(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent.Add(tokenBytes)
	e.next[id]++
}

func (e *longEngine) play(_ int, req *http.Request, conn net.Conn) {
	e.openStreams.Add(1)
	defer e.openStreams.Add(-1)
	defer conn.Close()
	id := req.Header.Get(requestIDHeader)
	if _, err := io.WriteString(conn, strings.Replace(streamHead, "r-1", id, 1)); err != nil {
		return
	}
	from, _ := strconv.Atoi(req.Header.Get("X-Resume-Offset"))
	e.restart(id, from)
	for offset := from; offset < tokensPerResponse; offset++ {
		event := `data: {"id":"` + id + `","model":"chai@2","offset":` + strconv.Itoa(offset) + e.eventSuffix
		if _, err := io.WriteString(conn, event); err != nil {
			return
		}
		e.count(id)
	}
	_, _ = io.WriteString(conn, strings.Replace(endEvent(tokensPerResponse), "r-1", id, 1)+doneEvent)
}

// heldBytes tracks the bytes that engines sent and readers have not read yet, counted independently of the budget.
type heldBytes struct {
	sent     atomic.Int64
	received atomic.Int64
	peak     atomic.Int64
}

func (h *heldBytes) updatePeak() {
	held := h.sent.Load() - h.received.Load()
	if held > h.peak.Load() {
		h.peak.Store(held)
	}
}

func slowCall(s *Sender, id string, rec *recorder) *request.Call {
	c := chatCall(s, rec)
	c.Request.ID = id
	c.Request.Deadline = 0
	return c
}

// TestSlowReadersStayWithinBudget serves responses of 1 MB to 1,000 readers at 100 B/s, and one to a fast reader: the budget
// must hold, engines must not be kept busy for slow readers, and the fast reader must not wait for them.
func TestSlowReadersStayWithinBudget(t *testing.T) {
	limits := settings.Default().Limits
	readers, budget := slowReaders, limits.AnswerBytes
	if testing.Short() || raceEnabled {
		// A tenth of the readers gets a tenth of the budget.
		readers, budget = readers/10, budget/10
	}
	synctest.Test(t, func(t *testing.T) {
		held := &heldBytes{}
		engine := &longEngine{eventSuffix: `,"choices":[{"index":0,"delta":{"content":"` + strings.Repeat("x", tokenBytes) + `"}}]}` + "\n\n", sent: &held.sent, next: map[string]int{}}
		u := &upstream{play: engine.play}
		s := newTestSender(u.dial)
		s.Budget = &Budget{Total: budget, PerRequest: limits.RequestBytes}
		canceller := &cancelRecorder{}
		s.Cancel = canceller
		ctx := t.Context()

		var wg sync.WaitGroup
		var complete atomic.Int64
		for i := range readers {
			wg.Go(func() {
				rec := &recorder{beforeWrite: func(n int) {
					held.updatePeak()
					time.Sleep(time.Duration(n) * time.Second / slowReaderBytesPerSecond)
					held.received.Add(int64(n))
				}}
				if err := s.Filter(ctx, slowCall(s, fmt.Sprintf("slow-%d", i), rec), nil); err != nil {
					t.Errorf("reader %d: %v", i, err)
				}
				if rec.text.Len() == tokenBytes*tokensPerResponse && rec.end != nil {
					complete.Add(1)
				}
			})
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		if n := engine.openStreams.Load(); n != 0 {
			t.Errorf("after a minute the engine still has %d open streams, want 0", n)
		}
		if n := len(distinct(canceller.paused)); n != readers {
			t.Errorf("%d requests were paused, want %d", n, readers)
		}

		fast := &recorder{}
		startedAt := s.Clock.Now()
		if err := s.Filter(ctx, slowCall(s, "fast", fast), nil); err != nil {
			t.Errorf("fast reader: %v", err)
		}
		held.received.Add(tokenBytes * tokensPerResponse)
		if took := s.Clock.Now() - startedAt; took > s.Settings.Times.SlowReader {
			t.Errorf("the fast reader took %d ms, longer than the slow-reader limit", took)
		}

		wg.Wait()
		s.Close()
		if n := complete.Load(); n != int64(readers) {
			t.Errorf("%d complete responses, want %d", n, readers)
		}
		t.Logf("peak of held bytes: %d counted at both ends, %d by the budget of %d; %d pauses", held.peak.Load(), s.Budget.Peak(), budget, len(canceller.paused))
		if peak := held.peak.Load(); peak > budget+budget/10 {
			t.Errorf("held %d bytes, the budget is %d", peak, budget)
		}
		if n := s.Budget.Held(); n != 0 {
			t.Errorf("%d bytes are still held after all calls, want 0", n)
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
