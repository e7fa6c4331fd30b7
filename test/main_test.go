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
	// service is the name of the service replica of a set.
	service = "booking-0"
	// horizon is the age at which a daemon's view is too old, by default.
	horizon = 5 * time.Second
	// settle is within how long a fact must be in force everywhere.
	settle = 16 * time.Second
	// claimPast is longer than a claim may be sent under, and than the horizon.
	claimPast = 12 * time.Second
)

// ask sends a booking under a request id of its own and holds the reply against what the service has run up to then.
func ask(ctx context.Context, t *testing.T, s *proctest.System, d *proctest.Daemon, b proctest.Booking) proctest.Reply {
	t.Helper()
	b.ID = uuid.NewString()
	r := d.Book(ctx, b)
	checkBooking(t, s, b, r)
	n := s.Upstreams[service].Runs().ByKey[b.Key]
	if r.Outcome() == request.NotRun && n > 0 && !undecided[r.Error.Reason] {
		t.Errorf("key %s ran, and the caller was told NotRun: %+v", b.Key, r.Error)
	}
	return r
}

// askEach asks for one booking at each daemon in turn.
func askEach(t *testing.T, s *proctest.System, daemons []*proctest.Daemon, b proctest.Booking) {
	t.Helper()
	for _, d := range daemons {
		ask(t.Context(), t, s, d, b)
	}
}

// engines returns the engines of the set by name.
func engines(s *proctest.System) map[string]*proctest.StandIn {
	out := maps.Clone(s.Upstreams)
	delete(out, service)
	return out
}

// inFlight returns how many chats the engines work on.
func inFlight(s *proctest.System) int {
	n := 0
	for _, e := range engines(s) {
		n += e.Stats().InFlight
	}
	return n
}

// awaitKnown waits until the daemon is ready and knows all upstreams.
func awaitKnown(s *proctest.System, d *proctest.Daemon) {
	d.AwaitReady()
	d.AwaitUpstreams(len(s.Upstreams))
}

// awaitRevision waits until all daemons have the revision in force.
func awaitRevision(s *proctest.System, r catalogue.Revision) {
	for _, d := range s.Daemons {
		d.AwaitRevision(r)
	}
}

// leave kills daemons and takes them off the list.
func leave(s *proctest.System, daemons ...*proctest.Daemon) {
	for _, d := range daemons {
		d.Kill()
		s.List.RemoveInstance(d.Settings.Name)
	}
}

// undecided are the reasons of refusals that say that nothing can be told of earlier requests under the same key.
var undecided = map[request.Reason]bool{
	request.ReasonLogUnavailable: true,
	request.ReasonKeyTooOld:      true,
	request.ReasonStaleView:      true,
}

// checkBooking holds a reply against what the service has run: NotRun is said of the request, and Ran of its key.
func checkBooking(t *testing.T, s *proctest.System, b proctest.Booking, r proctest.Reply) {
	t.Helper()
	runs := s.Upstreams[service].Runs()
	n := runs.ByKey[b.Key]
	if n > 1 {
		t.Errorf("key %s ran %d times", b.Key, n)
	}
	if r.Outcome() == request.NotRun && runs.ByID[b.ID] > 0 {
		t.Errorf("request %s of key %s ran, and the caller was told NotRun: %+v", b.ID, b.Key, r.Error)
	}
	if r.Outcome() == request.Ran && n == 0 {
		t.Errorf("key %s did not run, and the caller was told Ran: %+v", b.Key, r.Error)
	}
	if r.Err == nil && r.Outcome() == "" {
		t.Errorf("key %s: the reply tells no outcome: status %d, body %q", b.Key, r.Status, r.Body)
	}
}

// wantRan fails the test when the reply is no whole answer.
func wantRan(t *testing.T, r proctest.Reply) {
	t.Helper()
	if r.Err != nil || r.Status != 200 {
		t.Fatalf("no whole answer: error %v, status %d, %+v", r.Err, r.Status, r.Error)
	}
}

// wantChat fails the test when the reply is not the whole answer to content of n tokens.
func wantChat(t *testing.T, r proctest.Reply, content string, n int) {
	t.Helper()
	if !r.Whole {
		t.Fatalf("no whole answer: error %v, status %d, text %q, %+v", r.Err, r.Status, r.Text, r.Error)
	}
	if want := standin.AnswerText(content, n); r.Text != want {
		t.Fatalf("answer %q, want %q", r.Text, want)
	}
}

// background runs f in a goroutine and returns a channel with its result.
func background[T any](f func() T) <-chan T {
	out := make(chan T, 1)
	go func() { out <- f() }()
	return out
}

// pass lets real time pass, where a test is about a lapse.
func pass(d time.Duration) { time.Sleep(d) }
