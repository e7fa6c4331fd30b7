package reservation

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/backoffice/fake"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/ledger"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

// sim is a simulation of a log, a few instances and an upstream in one synctest bubble. All its random choices come from the seed.
type sim struct {
	seed uint64
	clk  clock.Clock
	// faultPercent is the share of appends that fail; reads fail half as often.
	faultPercent int

	log *fake.Log

	mu sync.Mutex
	// runs has the IDs of the requests that ran at the upstream, by key.
	runs map[string][]string
}

func newSim(seed uint64) *sim {
	clk := clock.NewReal()
	return &sim{seed: seed, clk: clk, log: &fake.Log{Clock: clk}, runs: map[string][]string{}}
}

// intn returns a pseudo-random number below n that depends only on the seed and the formatted name, so that every run gets
// the same number.
func (s *sim) intn(n int, name string, args ...any) int {
	b := binary.LittleEndian.AppendUint64(nil, s.seed)
	b = fmt.Appendf(b, name, args...)
	return int(xxhash.Sum64(b) % uint64(n))
}

func (s *sim) sleep(d int) { time.Sleep(time.Duration(d) * time.Millisecond) }

// appendReliably appends to the log directly, without injected faults.
func (s *sim) appendReliably(records [][]byte) int64 {
	first, err := s.log.Append(context.Background(), StreamName, records)
	if err != nil {
		// The log became unavailable during the append.
		return -1
	}
	return first
}

// trim removes all but the last n entries.
func (s *sim) trim(n int) { s.log.Trim(StreamName, s.end()-int64(n)) }

func (s *sim) end() int64 {
	b, err := s.log.Read(context.Background(), StreamName, 0, 1, 0)
	var trimmed *backoffice.TrimmedError
	if errors.As(err, &trimmed) {
		return trimmed.End
	}
	return b.End
}

func (s *sim) setDown(down bool) { s.log.SetFaults(fake.Faults{Down: down}) }

// instance simulates one process: waitRunning blocks its goroutines while it is frozen, and stops them once it is dead.
type instance struct {
	sim         *sim
	name        string
	coordinator *Coordinator
	batcher     *ledger.Batcher
	cancel      context.CancelFunc
	wg          sync.WaitGroup

	mu sync.Mutex
	// resumed is closed at the end of a freeze; it is nil while the process runs.
	resumed chan struct{}
	dead    bool
	killed  chan struct{}
	appends int
	reads   int
	// fault is the fault of every append, or nil for random faults.
	fault atomic.Pointer[fault]
	// readFails is true while the instance can't read the log.
	readFails atomic.Bool
}

func (s *sim) start(name string, incarnation int64) *instance {
	cfg := settings.Default()
	cfg.Name = name
	common := settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: s.clk}
	i := &instance{sim: s, name: fmt.Sprintf("%s/%d", name, incarnation), killed: make(chan struct{})}
	i.batcher = &ledger.Batcher{Common: common, Log: i, Stream: StreamName}
	tail := &ledger.Tail{Common: common, Log: i, Stream: StreamName}
	i.coordinator = &Coordinator{Common: common, Log: i.batcher, Tail: tail, Incarnation: incarnation}
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.wg.Go(func() { _ = i.batcher.Run(ctx) })
	i.wg.Go(func() { _ = i.coordinator.Run(ctx) })
	return i
}

// freeze pauses the process for d milliseconds.
func (i *instance) freeze(d int) {
	resumed := make(chan struct{})
	i.mu.Lock()
	if i.resumed != nil || i.dead {
		i.mu.Unlock()
		return
	}
	i.resumed = resumed
	i.mu.Unlock()
	i.sim.sleep(d)
	i.mu.Lock()
	i.resumed = nil
	i.mu.Unlock()
	close(resumed)
}

func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.dead {
		i.dead = true
		close(i.killed)
	}
}

// waitRunning blocks while the process is frozen and returns false once it is dead.
func (i *instance) waitRunning() bool {
	for {
		i.mu.Lock()
		resumed, dead := i.resumed, i.dead
		i.mu.Unlock()
		if dead {
			return false
		}
		if resumed == nil {
			return true
		}
		select {
		case <-resumed:
		case <-i.killed:
		}
	}
}

var errConnection = errors.New("connection reset")

func unknownError() error {
	return &backoffice.UnavailableError{Service: "log", OutcomeUnknown: true, Cause: errConnection}
}
func refusedError() error   { return &backoffice.UnavailableError{Service: "log", Cause: errConnection} }
func (s *sim) latency() int { return 1 + s.intn(8, "lag") }

// fault is the way in which an append fails.
type fault int

const (
	faultNone fault = iota
	faultRefused
	// faultAnswerLost appends the records and returns an unknown outcome.
	faultAnswerLost
	// faultHangs appends the records, blocks until ctx ends and returns an unknown outcome.
	faultHangs
	// faultDelayed returns an unknown outcome and appends the records up to 20 s later.
	faultDelayed
	// faultDuplicate appends the records twice.
	faultDuplicate
)

// Append appends to the log with the faults injected for this instance.
func (i *instance) Append(ctx context.Context, _ string, records [][]byte) (int64, error) {
	i.appends++
	i.sim.sleep(i.sim.latency())
	if !i.waitRunning() {
		return 0, unknownError()
	}
	kind := faultNone
	if f := i.fault.Load(); f != nil {
		kind = *f
	} else if i.sim.intn(100, "append %s %d", i.name, i.appends) < i.sim.faultPercent {
		kind = fault(1 + i.sim.intn(5, "fault %s %d", i.name, i.appends))
	}
	switch kind {
	case faultNone:
		first, err := i.sim.log.Append(ctx, StreamName, records)
		i.sim.sleep(i.sim.latency())
		if !i.waitRunning() {
			return 0, unknownError()
		}
		return first, err
	case faultRefused:
		return 0, refusedError()
	case faultAnswerLost:
		i.sim.appendReliably(records)
		return 0, unknownError()
	case faultHangs:
		i.sim.appendReliably(records)
		<-ctx.Done()
		return 0, unknownError()
	case faultDelayed:
		delay := i.sim.intn(20000, "late %s %d", i.name, i.appends)
		i.wg.Go(func() {
			i.sim.sleep(delay)
			i.sim.appendReliably(records)
		})
		return 0, unknownError()
	default:
		first := i.sim.appendReliably(records)
		i.sim.appendReliably(records)
		return first, nil
	}
}

// Read reads the log with the faults injected for this instance.
func (i *instance) Read(ctx context.Context, _ string, from int64, limit int, wait clock.Millis) (backoffice.Batch, error) {
	i.reads++
	i.sim.sleep(i.sim.latency())
	if !i.waitRunning() || i.readFails.Load() || i.sim.intn(100, "read %s %d", i.name, i.reads) < i.sim.faultPercent/2 {
		return backoffice.Batch{}, refusedError()
	}
	b, err := i.sim.log.Read(ctx, StreamName, from, limit, wait)
	i.sim.sleep(i.sim.latency())
	if !i.waitRunning() {
		return backoffice.Batch{}, refusedError()
	}
	return b, err
}

// upstreamBehavior is what happens to a request at the upstream.
type upstreamBehavior int

const (
	upstreamRuns upstreamBehavior = iota
	upstreamRefuses
	upstreamRunsAnswerLost
	upstreamLosesRequest
)

// upstream returns a handler that simulates the upstream of one request; it waits for pause milliseconds before it checks
// that the request may be sent.
func (i *instance) upstream(behavior upstreamBehavior, pause int) request.Handler {
	return request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
		i.sim.sleep(pause)
		if !i.waitRunning() {
			return errConnection
		}
		if r := c.CheckBeforeSend(i.sim.clk.Now()); r != nil {
			return r
		}
		if !i.waitRunning() {
			return errConnection
		}
		if behavior == upstreamRefuses {
			return request.Refuse(request.ReasonUpstreamRefused, 0, "upstream refused the request")
		}
		if behavior == upstreamLosesRequest {
			return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonUpstreamFailed}
		}
		i.sim.mu.Lock()
		i.sim.runs[c.Request.Key] = append(i.sim.runs[c.Request.Key], c.Request.ID)
		i.sim.mu.Unlock()
		i.sim.sleep(i.sim.latency())
		if !i.waitRunning() {
			return errConnection
		}
		if behavior == upstreamRunsAnswerLost {
			return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonUpstreamFailed}
		}
		if err := c.Writer.WriteHead(ctx, c, request.Head{Status: 201}); err != nil {
			return err
		}
		if err := c.Writer.WriteBytes(ctx, c, []byte(c.Request.ID)); err != nil {
			return err
		}
		return c.Writer.WriteEnd(ctx, c, request.End{})
	})
}

// result is the response that a caller received.
type result struct {
	// Answer is the ID of the request whose run produced the answer; it is empty unless the answer is complete.
	Answer   string
	Replayed bool
	Outcome  request.Outcome
	Reason   request.Reason
	// Dead is true if the instance was killed before it could answer.
	Dead bool
}

// callerWriter records the answer that the caller receives.
type callerWriter struct {
	head      request.Head
	body      []byte
	completed bool
	// closed makes every write return an error.
	closed bool
}

func (w *callerWriter) write() error {
	if w.closed {
		return errConnection
	}
	return nil
}

func (w *callerWriter) WriteHead(_ context.Context, _ *request.Call, h request.Head) error {
	w.head = h
	return w.write()
}

func (w *callerWriter) WriteChunk(_ context.Context, _ *request.Call, k request.Chunk) error {
	w.body = append(w.body, k.Text...)
	return w.write()
}

func (w *callerWriter) WriteBytes(_ context.Context, _ *request.Call, b []byte) error {
	w.body = append(w.body, b...)
	return w.write()
}

func (w *callerWriter) WriteEnd(context.Context, *request.Call, request.End) error {
	w.completed = true
	return w.write()
}

func (i *instance) call(id, key, body string) *request.Call {
	now := i.sim.clk.Now()
	return &request.Call{
		Request: &request.Request{ID: id, Workspace: "chai", Service: "bookings", Method: "POST", Path: "/tables",
			Key: key, Body: []byte(body), ArrivedAt: now, Deadline: now + 30*clock.Second},
		Writer: &callerWriter{},
	}
}

// submit sends one request through the filter and returns what the caller received.
func (i *instance) submit(ctx context.Context, id, key, body string, next request.Handler) result {
	c := i.call(id, key, body)
	return i.submitCall(ctx, c, next)
}

func (i *instance) submitCall(ctx context.Context, c *request.Call, next request.Handler) result {
	w := c.Writer.(*callerWriter)
	if !i.waitRunning() {
		return result{Dead: true}
	}
	err := i.coordinator.Filter(ctx, c, next)
	if !i.waitRunning() {
		return result{Dead: true}
	}
	var r *request.Refusal
	if errors.As(err, &r) {
		return result{Outcome: r.Outcome, Reason: r.Reason}
	}
	if err != nil || !w.completed {
		return result{Outcome: request.MayHaveRun}
	}
	return result{Answer: string(w.body), Replayed: w.head.Header.Get(ReplayedHeader) != "", Outcome: request.Ran}
}

// stopAll kills the instances and waits for their goroutines, as synctest requires at the end of a bubble.
func stopAll(instances ...*instance) {
	for _, i := range instances {
		i.kill()
		i.cancel()
	}
	for _, i := range instances {
		i.wg.Wait()
	}
}

// newKey returns a key with the current time.
func (s *sim) newKey(text string) string { return fmt.Sprintf("%d-%s", s.clk.Wall(), text) }
