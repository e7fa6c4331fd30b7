//go:build process || soak

package test

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/google/uuid"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/proctest"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/standin"
)

func TestMain(m *testing.M) { proctest.Main(m) }

const (
	// serviceReplica is the name of the replica of the booking service.
	serviceReplica = "booking-0"
	// staleViewAge is the default age at which a daemon's view of the configuration is too old to decide on.
	staleViewAge = 5 * time.Second
	// convergenceTimeout limits how long a change may take to reach all daemons.
	convergenceTimeout = 16 * time.Second
	// expiredClaimAge is longer than the 5 s after which a claim allows no send, and longer than staleViewAge.
	expiredClaimAge = 12 * time.Second
)

// bookChecked sends a booking under a new request id and checks the reply against what the service has executed so far.
func bookChecked(ctx context.Context, t *testing.T, s *proctest.System, d *proctest.Daemon, b proctest.Booking) proctest.Reply {
	t.Helper()
	b.ID = uuid.NewString()
	r := d.Book(ctx, b)
	checkBooking(t, s, b, r)
	n := s.Upstreams[serviceReplica].Runs().ByKey[b.Key]
	if r.Outcome() == request.NotRun && n > 0 && !undeterminedReasons[r.Error.Reason] {
		t.Errorf("key %s was executed, but the reply states NotRun: %+v", b.Key, r.Error)
	}
	return r
}

// bookAtEach sends one booking to each daemon in turn and checks the replies.
func bookAtEach(t *testing.T, s *proctest.System, daemons []*proctest.Daemon, b proctest.Booking) {
	t.Helper()
	for _, d := range daemons {
		bookChecked(t.Context(), t, s, d, b)
	}
}

// engines returns the engines of the system by name.
func engines(s *proctest.System) map[string]*proctest.StandIn {
	out := maps.Clone(s.Upstreams)
	delete(out, serviceReplica)
	return out
}

// inFlightChats returns the number of chats in flight at all engines.
func inFlightChats(s *proctest.System) int {
	n := 0
	for _, e := range engines(s) {
		n += e.Stats().InFlight
	}
	return n
}

// awaitReadyWithUpstreams waits until the daemon is ready and knows all upstreams.
func awaitReadyWithUpstreams(s *proctest.System, d *proctest.Daemon) {
	d.AwaitReady()
	d.AwaitUpstreams(len(s.Upstreams))
}

// awaitRevision waits until the revision is active at all daemons.
func awaitRevision(s *proctest.System, r catalogue.Revision) {
	for _, d := range s.Daemons {
		d.AwaitRevision(r)
	}
}

// killAndRemove kills daemons and removes them from the instance list.
func killAndRemove(s *proctest.System, daemons ...*proctest.Daemon) {
	for _, d := range daemons {
		d.Kill()
		s.List.RemoveInstance(d.Settings.Name)
	}
}

// undeterminedReasons has the reasons of refusals that concern this request only: earlier requests with the same key may have run.
var undeterminedReasons = map[request.Reason]bool{
	request.ReasonLogUnavailable: true,
	request.ReasonKeyTooOld:      true,
	request.ReasonStaleView:      true,
}

// checkBooking checks a reply against what the service has executed: NotRun is stated of the request, Ran of its key.
func checkBooking(t *testing.T, s *proctest.System, b proctest.Booking, r proctest.Reply) {
	t.Helper()
	runs := s.Upstreams[serviceReplica].Runs()
	n := runs.ByKey[b.Key]
	if n > 1 {
		t.Errorf("key %s was executed %d times, want at most once", b.Key, n)
	}
	if r.Outcome() == request.NotRun && runs.ByID[b.ID] > 0 {
		t.Errorf("request %s of key %s was executed, but the reply states NotRun: %+v", b.ID, b.Key, r.Error)
	}
	if r.Outcome() == request.Ran && n == 0 {
		t.Errorf("key %s was not executed, but the reply states Ran: %+v", b.Key, r.Error)
	}
	if r.Err == nil && r.Outcome() == "" {
		t.Errorf("key %s: reply without an outcome: status %d, body %q", b.Key, r.Status, r.Body)
	}
}

// requireSuccess ends the test when the reply is not a complete response with status 200.
func requireSuccess(t *testing.T, r proctest.Reply) {
	t.Helper()
	if r.Err != nil || r.Status != 200 {
		t.Fatalf("reply is not a complete response with status 200: error %v, status %d, %+v", r.Err, r.Status, r.Error)
	}
}

// requireChat ends the test when the reply is not the complete answer of n tokens to content.
func requireChat(t *testing.T, r proctest.Reply, content string, n int) {
	t.Helper()
	if !r.Whole {
		t.Fatalf("incomplete answer: error %v, status %d, text %q, %+v", r.Err, r.Status, r.Text, r.Error)
	}
	if want := standin.AnswerText(content, n); r.Text != want {
		t.Fatalf("got answer %q, want %q", r.Text, want)
	}
}

// runAsync runs f in a goroutine and returns a channel that receives its result.
func runAsync[T any](f func() T) <-chan T {
	out := make(chan T, 1)
	go func() { out <- f() }()
	return out
}

// sleep waits in real time, where a test depends on the passing of time and not on a condition it could poll.
func sleep(d time.Duration) { time.Sleep(d) }
