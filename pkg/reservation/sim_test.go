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

// sim is a log, a few instances and an upstream in one bubble of fake time. All chance comes from the seed.
type sim struct {
	seed uint64
	clk  clock.Clock
	// chaos is the share of log calls that fail, in percent.
	chaos int

	log *fake.Log

	mu sync.Mutex
	// runs are the request ids that ran at the upstream, by key.
	runs map[string][]string
}

func newSim(seed uint64) *sim {
	clk := clock.NewReal()
	return &sim{seed: seed, clk: clk, log: &fake.Log{Clock: clk}, runs: map[string][]string{}}
}

// roll returns a number below n that depends on the seed and the name alone, so that it is the same in every run.
func (s *sim) roll(n int, name string, args ...any) int {
	b := binary.LittleEndian.AppendUint64(nil, s.seed)
	b = fmt.Appendf(b, name, args...)
	return int(xxhash.Sum64(b) % uint64(n))
}

func (s *sim) sleep(d int) { time.Sleep(time.Duration(d) * time.Millisecond) }

// add appends to the log for sure.
func (s *sim) add(records [][]byte) int64 {
	first, err := s.log.Append(context.Background(), StreamName, records)
	if err != nil {
		// The log went down on the way.
		return -1
	}
	return first
}

// trim drops all but the last n entries.
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

// instance is one process: its goroutines stop at each gate while it is frozen, and for good once it is dead.
type instance struct {
	sim     *sim
	name    string
	book    *Book
	batcher *ledger.Batcher
	cancel  context.CancelFunc
	wg      sync.WaitGroup

	mu      sync.Mutex
	thaw    chan struct{}
	dead    bool
	killed  chan struct{}
	appends int
	reads   int
	// fault is the kind of failure of each append, or nil for chance.
	fault atomic.Pointer[fault]
	// deaf is true while the instance can't read the log.
	deaf atomic.Bool
}

func (s *sim) start(name string, incarnation int64) *instance {
	cfg := settings.Default()
	cfg.Name = name
	common := settings.Common{Log: logr.Discard(), Settings: &cfg, Clock: s.clk}
	i := &instance{sim: s, name: fmt.Sprintf("%s/%d", name, incarnation), killed: make(chan struct{})}
	i.batcher = &ledger.Batcher{Common: common, Log: i, Stream: StreamName}
	tail := &ledger.Tail{Common: common, Log: i, Stream: StreamName}
	i.book = &Book{Common: common, Log: i.batcher, Tail: tail, Incarnation: incarnation}
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	i.wg.Go(func() { _ = i.batcher.Run(ctx) })
	i.wg.Go(func() { _ = i.book.Run(ctx) })
	return i
}

// freeze stops the process for d milliseconds.
func (i *instance) freeze(d int) {
	thaw := make(chan struct{})
	i.mu.Lock()
	if i.thaw != nil || i.dead {
		i.mu.Unlock()
		return
	}
	i.thaw = thaw
	i.mu.Unlock()
	i.sim.sleep(d)
	i.mu.Lock()
	i.thaw = nil
	i.mu.Unlock()
	close(thaw)
}

func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.dead {
		i.dead = true
		close(i.killed)
	}
}

// gate blocks while the process is frozen and returns false once it is dead.
func (i *instance) gate() bool {
	for {
		i.mu.Lock()
		thaw, dead := i.thaw, i.dead
		i.mu.Unlock()
		if dead {
			return false
		}
		if thaw == nil {
			return true
		}
		select {
		case <-thaw:
		case <-i.killed:
		}
	}
}

var errBroken = errors.New("connection broke")

func lost() error {
	return &backoffice.UnavailableError{Service: "log", Unknown: true, Cause: errBroken}
}
func refused() error    { return &backoffice.UnavailableError{Service: "log", Cause: errBroken} }
func (s *sim) lag() int { return 1 + s.roll(8, "lag") }

// fault is a failure of one append.
type fault int

const (
	faultNone fault = iota
	faultRefused
	// faultAnswerLost appends, and tells that the answer was lost.
	faultAnswerLost
	// faultHangs appends, and does not answer.
	faultHangs
	// faultLate appends after a time, and tells that the answer was lost.
	faultLate
	// faultTwice appends twice.
	faultTwice
)

// Append is the log as this instance reaches it: answers are lost, records arrive late or twice, or not at all.
func (i *instance) Append(ctx context.Context, _ string, records [][]byte) (int64, error) {
	i.appends++
	i.sim.sleep(i.sim.lag())
	if !i.gate() {
		return 0, lost()
	}
	kind := faultNone
	if f := i.fault.Load(); f != nil {
		kind = *f
	} else if i.sim.roll(100, "append %s %d", i.name, i.appends) < i.sim.chaos {
		kind = fault(1 + i.sim.roll(5, "fault %s %d", i.name, i.appends))
	}
	switch kind {
	case faultNone:
		first, err := i.sim.log.Append(ctx, StreamName, records)
		i.sim.sleep(i.sim.lag())
		if !i.gate() {
			return 0, lost()
		}
		return first, err
	case faultRefused:
		return 0, refused()
	case faultAnswerLost:
		i.sim.add(records)
		return 0, lost()
	case faultHangs:
		i.sim.add(records)
		<-ctx.Done()
		return 0, lost()
	case faultLate:
		late := i.sim.roll(20000, "late %s %d", i.name, i.appends)
		i.wg.Go(func() {
			i.sim.sleep(late)
			i.sim.add(records)
		})
		return 0, lost()
	default:
		first := i.sim.add(records)
		i.sim.add(records)
		return first, nil
	}
}

// Read is the log as this instance reaches it.
func (i *instance) Read(ctx context.Context, _ string, from int64, limit int, wait clock.Millis) (backoffice.Batch, error) {
	i.reads++
	i.sim.sleep(i.sim.lag())
	if !i.gate() || i.deaf.Load() || i.sim.roll(100, "read %s %d", i.name, i.reads) < i.sim.chaos/2 {
		return backoffice.Batch{}, refused()
	}
	b, err := i.sim.log.Read(ctx, StreamName, from, limit, wait)
	i.sim.sleep(i.sim.lag())
	if !i.gate() {
		return backoffice.Batch{}, refused()
	}
	return b, err
}

// send is what a request does at the upstream.
type send int

const (
	sendRuns send = iota
	sendRefusedUnrun
	sendRunsAnswerLost
	sendLost
)

// upstream returns the handler that stands for the upstream of one request; pause is how long it waits before it asks
// for the permission to send.
func (i *instance) upstream(what send, pause int) request.Handler {
	return request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
		i.sim.sleep(pause)
		if !i.gate() {
			return errBroken
		}
		if r := c.MaySend(i.sim.clk.Now()); r != nil {
			return r
		}
		if !i.gate() {
			return errBroken
		}
		if what == sendRefusedUnrun {
			return request.Refuse(request.ReasonUpstreamRefused, 0, "refused by contract")
		}
		if what == sendLost {
			return &request.Refusal{Outcome: request.MayHaveRun, Reason: request.ReasonUpstreamFailed}
		}
		i.sim.mu.Lock()
		i.sim.runs[c.Request.Key] = append(i.sim.runs[c.Request.Key], c.Request.ID)
		i.sim.mu.Unlock()
		i.sim.sleep(i.sim.lag())
		if !i.gate() {
			return errBroken
		}
		if what == sendRunsAnswerLost {
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

// told is what a caller got.
type told struct {
	// Answer is the id of the run that answered, when there was a whole answer.
	Answer   string
	Replayed bool
	Outcome  request.Outcome
	Reason   request.Reason
	// Dead is true when the instance died before it could answer.
	Dead bool
}

// page is the caller's end of an answer.
type page struct {
	head  request.Head
	body  []byte
	ended bool
	// gone makes every write fail.
	gone bool
}

func (p *page) write() error {
	if p.gone {
		return errBroken
	}
	return nil
}

func (p *page) WriteHead(_ context.Context, _ *request.Call, h request.Head) error {
	p.head = h
	return p.write()
}

func (p *page) WriteChunk(_ context.Context, _ *request.Call, k request.Chunk) error {
	p.body = append(p.body, k.Text...)
	return p.write()
}

func (p *page) WriteBytes(_ context.Context, _ *request.Call, b []byte) error {
	p.body = append(p.body, b...)
	return p.write()
}

func (p *page) WriteEnd(context.Context, *request.Call, request.End) error {
	p.ended = true
	return p.write()
}

func (i *instance) call(id, key, body string) *request.Call {
	now := i.sim.clk.Now()
	return &request.Call{
		Request: &request.Request{ID: id, Workspace: "chai", Service: "bookings", Method: "POST", Path: "/tables",
			Key: key, Body: []byte(body), ArrivedAt: now, Deadline: now + 30*clock.Second},
		Writer: &page{},
	}
}

// ask sends one request through the filter and tells what the caller got.
func (i *instance) ask(ctx context.Context, id, key, body string, next request.Handler) told {
	c := i.call(id, key, body)
	return i.askCall(ctx, c, next)
}

func (i *instance) askCall(ctx context.Context, c *request.Call, next request.Handler) told {
	p := c.Writer.(*page)
	if !i.gate() {
		return told{Dead: true}
	}
	err := i.book.Filter(ctx, c, next)
	if !i.gate() {
		return told{Dead: true}
	}
	var r *request.Refusal
	if errors.As(err, &r) {
		return told{Outcome: r.Outcome, Reason: r.Reason}
	}
	if err != nil || !p.ended {
		return told{Outcome: request.MayHaveRun}
	}
	return told{Answer: string(p.body), Replayed: p.head.Header.Get(ReplayedHeader) != "", Outcome: request.Ran}
}

// stop ends the goroutines of the instances, so that the bubble can end.
func stop(instances ...*instance) {
	for _, i := range instances {
		i.kill()
		i.cancel()
	}
	for _, i := range instances {
		i.wg.Wait()
	}
}

// keyNow returns a key of this moment.
func (s *sim) keyNow(text string) string { return fmt.Sprintf("%d-%s", s.clk.Wall(), text) }
