package backoffice_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/backoffice/fake"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/standin"
)

// logClient has the methods that the HTTP client and the fake share.
type logClient interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (backoffice.Batch, error)
}

// logUnderTest is a log under test with its fault controls.
type logUnderTest struct {
	logClient
	faults       func(down bool, loseAnswers int)
	setRetention func(records int)
	truncate     func(stream string, end int64)
}

func fakeLog(*testing.T) *logUnderTest {
	l := &fake.Log{Clock: clock.NewManual(clock.Second)}
	return &logUnderTest{
		logClient:    l,
		faults:       func(down bool, loseAnswers int) { l.SetFaults(fake.Faults{Down: down, LoseAnswers: loseAnswers}) },
		setRetention: l.SetRetention,
		truncate:     l.Truncate,
	}
}

func httpLog(t *testing.T) *logUnderTest {
	l := standin.NewLog()
	srv := serve(t, l.Handler())
	return &logUnderTest{
		logClient: &backoffice.Log{BaseURL: srv.URL, HTTP: srv.Client()},
		faults: func(down bool, loseAnswers int) {
			l.Faults.Update(func(f *standin.LogFaults) { f.Down, f.LoseAnswers = down, loseAnswers })
		},
		setRetention: func(n int) { l.Faults.Update(func(f *standin.LogFaults) { f.RetainRecords = n }) },
		truncate: func(stream string, end int64) {
			resp, err := srv.Client().Post(fmt.Sprintf("%s/streams/%s/truncate?end=%d", srv.URL, stream, end), "", nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
		},
	}
}

func serve(t *testing.T, h http.Handler) *httptest.Server {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv
}

// errorClass is the part of an error that tests compare.
type errorClass struct {
	Trimmed        *backoffice.TrimmedError
	PastEnd        *backoffice.PastEndError
	Fenced         *backoffice.FencedError
	RateLimited    *backoffice.RateLimitedError
	Unavailable    bool
	OutcomeUnknown bool
	InvalidReply   bool
	Status         int
	Other          bool
}

func classify(err error) errorClass {
	var v errorClass
	if err == nil {
		return v
	}
	var unavailable *backoffice.UnavailableError
	var reply *backoffice.ReplyError
	var status *backoffice.StatusError
	errors.As(err, &v.Trimmed)
	errors.As(err, &v.PastEnd)
	errors.As(err, &v.Fenced)
	errors.As(err, &v.RateLimited)
	if errors.As(err, &unavailable) {
		v.Unavailable, v.OutcomeUnknown = true, unavailable.OutcomeUnknown
	}
	v.InvalidReply = errors.As(err, &reply)
	if errors.As(err, &status) {
		v.Status = status.Status
	}
	v.Other = cmp.Equal(v, errorClass{})
	return v
}

// withoutStatus drops the HTTP status, which only the HTTP client has.
func withoutStatus(v errorClass) errorClass {
	v.Status = 0
	return v
}

func checkErrorClass(t *testing.T, what string, want, got errorClass) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// runOnBoth runs a case against a new stand-in, through its HTTP client, and against a new fake.
func runOnBoth[B any](t *testing.T, name string, newStandIn, newFake func(*testing.T) B, run func(t *testing.T, underTest B)) {
	t.Helper()
	t.Run("stand-in/"+name, func(t *testing.T) { run(t, newStandIn(t)) })
	t.Run("fake/"+name, func(t *testing.T) { run(t, newFake(t)) })
}

// formatEntries formats each entry of a batch as "offset:data".
func formatEntries(b backoffice.Batch) []string {
	var out []string
	for _, e := range b.Entries {
		out = append(out, fmt.Sprintf("%d:%s", e.Offset, e.Data))
	}
	return out
}

func records(values ...string) [][]byte {
	var out [][]byte
	for _, s := range values {
		out = append(out, []byte(s))
	}
	return out
}

// mustAppend appends records to stream "s" and fails the test on an error.
func mustAppend(ctx context.Context, t *testing.T, l logClient, values ...string) {
	t.Helper()
	if _, err := l.Append(ctx, "s", records(values...)); err != nil {
		t.Fatal(err)
	}
}

func TestLogContract(t *testing.T) {
	type read struct {
		Entries     []string
		Oldest, End int64
	}
	cases := []struct {
		name string
		// setup is optional and runs after the records a, b and c were appended.
		setup   func(ctx context.Context, t *testing.T, l *logUnderTest)
		append  []string
		first   int64
		wantErr errorClass
		// from, limit, want and wantReadErr are those of a read that follows while the faults are still set.
		from        int64
		limit       int
		want        read
		wantReadErr errorClass
	}{
		{name: "all", limit: 10, want: read{[]string{"0:a", "1:b", "2:c"}, 0, 3}},
		{name: "limit", limit: 2, want: read{[]string{"0:a", "1:b"}, 0, 3}},
		{name: "read from the middle", from: 2, limit: 10, want: read{[]string{"2:c"}, 0, 3}},
		{name: "read from the end", from: 3, limit: 10, want: read{nil, 0, 3}},
		{
			name: "append two", append: []string{"d", "e"}, first: 3, from: 2, limit: 10,
			want: read{[]string{"2:c", "3:d", "4:e"}, 0, 5},
		},
		{name: "read past the end", from: 4, limit: 10, wantReadErr: errorClass{PastEnd: &backoffice.PastEndError{Stream: "s", From: 4, End: 3}}},
		{
			name:  "tail lost",
			setup: func(_ context.Context, _ *testing.T, l *logUnderTest) { l.truncate("s", 1) },
			from:  3, limit: 10,
			wantReadErr: errorClass{PastEnd: &backoffice.PastEndError{Stream: "s", From: 3, End: 1}},
		},
		{
			name:   "head trimmed, read of a trimmed offset",
			setup:  func(_ context.Context, _ *testing.T, l *logUnderTest) { l.setRetention(2) },
			append: []string{"d", "e"}, first: 3, from: 2, limit: 10,
			wantReadErr: errorClass{Trimmed: &backoffice.TrimmedError{Stream: "s", From: 2, Oldest: 3, End: 5}},
		},
		{
			name:   "head trimmed, read from the oldest offset",
			setup:  func(_ context.Context, _ *testing.T, l *logUnderTest) { l.setRetention(2) },
			append: []string{"d", "e"}, first: 3, from: 3, limit: 10,
			want: read{[]string{"3:d", "4:e"}, 3, 5},
		},
		{
			name:   "down",
			setup:  func(_ context.Context, _ *testing.T, l *logUnderTest) { l.faults(true, 0) },
			append: []string{"d"}, wantErr: errorClass{Unavailable: true}, limit: 10,
			wantReadErr: errorClass{Unavailable: true},
		},
		{
			name: "down, then up: the rejected record is not in the log",
			setup: func(ctx context.Context, t *testing.T, l *logUnderTest) {
				l.faults(true, 0)
				if _, err := l.Append(ctx, "s", records("x")); err == nil {
					t.Fatal("append succeeded while the log was down")
				}
				l.faults(false, 0)
			},
			append: []string{"d"}, first: 3, from: 3, limit: 10, want: read{[]string{"3:d"}, 0, 4},
		},
		{
			name:   "response lost: the record is in the log once",
			setup:  func(_ context.Context, _ *testing.T, l *logUnderTest) { l.faults(false, 1) },
			append: []string{"d"}, wantErr: errorClass{Unavailable: true, OutcomeUnknown: true}, from: 3, limit: 10,
			want: read{[]string{"3:d"}, 0, 4},
		},
		{
			name: "two responses lost",
			setup: func(ctx context.Context, t *testing.T, l *logUnderTest) {
				l.faults(false, 2)
				if _, err := l.Append(ctx, "s", records("d")); err == nil {
					t.Fatal("append succeeded although its response should have been lost")
				}
			},
			append: []string{"d"}, wantErr: errorClass{Unavailable: true, OutcomeUnknown: true}, from: 3, limit: 10,
			want: read{[]string{"3:d", "4:d"}, 0, 5},
		},
	}
	for _, c := range cases {
		runOnBoth(t, c.name, httpLog, fakeLog, func(t *testing.T, l *logUnderTest) {
			ctx := t.Context()
			mustAppend(ctx, t, l, "a", "b", "c")
			if c.setup != nil {
				c.setup(ctx, t, l)
			}
			if c.append != nil {
				first, err := l.Append(ctx, "s", records(c.append...))
				checkErrorClass(t, "append", c.wantErr, withoutStatus(classify(err)))
				if first != c.first {
					t.Errorf("first = %d, want %d", first, c.first)
				}
			}
			got, err := l.Read(ctx, "s", c.from, c.limit, 0)
			checkErrorClass(t, "read", c.wantReadErr, withoutStatus(classify(err)))
			if diff := cmp.Diff(c.want, read{formatEntries(got), got.Oldest, got.End}); diff != "" {
				t.Errorf("batch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestLogContractWait(t *testing.T) {
	for _, b := range []struct {
		name string
		make func(*testing.T) *logUnderTest
	}{{"stand-in", httpLog}, {"fake", fakeLog}} {
		t.Run(b.name, func(t *testing.T) {
			ctx, l := t.Context(), b.make(t)
			got := make(chan []string, 1)
			go func() {
				batch, err := l.Read(ctx, "s", 0, 10, 60*clock.Second)
				if err != nil {
					t.Error(err)
				}
				got <- formatEntries(batch)
			}()
			mustAppend(ctx, t, l, "a")
			if diff := cmp.Diff([]string{"0:a"}, <-got); diff != "" {
				t.Errorf("read (-want +got):\n%s", diff)
			}
		})
	}
}
