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

// logClient is the method set that the HTTP client and the fake share.
type logClient interface {
	Append(ctx context.Context, stream string, records [][]byte) (int64, error)
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (backoffice.Batch, error)
}

// logBackend is a log under test with its switches.
type logBackend struct {
	logClient
	faults   func(down bool, loseAnswers int)
	retain   func(records int)
	truncate func(stream string, end int64)
}

func fakeLog(*testing.T) *logBackend {
	l := &fake.Log{Clock: clock.NewManual(clock.Second)}
	return &logBackend{
		logClient: l,
		faults:    func(down bool, lose int) { l.SetFaults(fake.Faults{Down: down, LoseAnswers: lose}) },
		retain:    l.Retain,
		truncate:  l.Truncate,
	}
}

func httpLog(t *testing.T) *logBackend {
	l := standin.NewLog()
	srv := serve(t, l.Handler())
	return &logBackend{
		logClient: &backoffice.Log{BaseURL: srv.URL, HTTP: srv.Client()},
		faults: func(down bool, lose int) {
			l.Switches.Update(func(f *standin.LogFaults) { f.Down, f.LoseAnswers = down, lose })
		},
		retain: func(n int) { l.Switches.Update(func(f *standin.LogFaults) { f.RetainRecords = n }) },
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

// verdict is what a test compares of an error.
type verdict struct {
	Trimmed     *backoffice.TrimmedError
	Ahead       *backoffice.AheadError
	Fenced      *backoffice.FencedError
	Limited     *backoffice.LimitedError
	Unavailable bool
	Unknown     bool
	BadReply    bool
	Status      int
	Other       bool
}

func classify(err error) verdict {
	var v verdict
	if err == nil {
		return v
	}
	var unavailable *backoffice.UnavailableError
	var reply *backoffice.ReplyError
	var status *backoffice.StatusError
	errors.As(err, &v.Trimmed)
	errors.As(err, &v.Ahead)
	errors.As(err, &v.Fenced)
	errors.As(err, &v.Limited)
	if errors.As(err, &unavailable) {
		v.Unavailable, v.Unknown = true, unavailable.Unknown
	}
	v.BadReply = errors.As(err, &reply)
	if errors.As(err, &status) {
		v.Status = status.Status
	}
	v.Other = cmp.Equal(v, verdict{})
	return v
}

// ignoreStatus leaves out what only the HTTP client can know.
func ignoreStatus(v verdict) verdict {
	v.Status = 0
	return v
}

// checkVerdict compares what an error was taken for.
func checkVerdict(t *testing.T, what string, want, got verdict) {
	t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", what, diff)
	}
}

// onBoth runs a case against the stand-in and against the fake, each made anew.
func onBoth[B any](t *testing.T, name string, standIn, fake func(*testing.T) B, run func(t *testing.T, backend B)) {
	t.Helper()
	t.Run("stand-in/"+name, func(t *testing.T) { run(t, standIn(t)) })
	t.Run("fake/"+name, func(t *testing.T) { run(t, fake(t)) })
}

// texts returns the records of a batch that is read as a whole.
func texts(b backoffice.Batch) []string {
	var out []string
	for _, e := range b.Entries {
		out = append(out, fmt.Sprintf("%d:%s", e.Offset, e.Data))
	}
	return out
}

func records(texts ...string) [][]byte {
	var out [][]byte
	for _, s := range texts {
		out = append(out, []byte(s))
	}
	return out
}

// mustAppend appends before the step under test.
func mustAppend(ctx context.Context, t *testing.T, l logClient, texts ...string) {
	t.Helper()
	if _, err := l.Append(ctx, "s", records(texts...)); err != nil {
		t.Fatal(err)
	}
}

func TestLogContract(t *testing.T) {
	type read struct {
		Texts       []string
		Oldest, End int64
	}
	cases := []struct {
		name string
		// prepare runs after three records were appended.
		prepare func(ctx context.Context, t *testing.T, l *logBackend)
		append  []string
		first   int64
		failed  verdict
		// from, limit and the rest are those of a read that follows with the faults still set.
		from       int64
		limit      int
		want       read
		readFailed verdict
	}{
		{name: "all", limit: 10, want: read{[]string{"0:a", "1:b", "2:c"}, 0, 3}},
		{name: "limit", limit: 2, want: read{[]string{"0:a", "1:b"}, 0, 3}},
		{name: "from the middle", from: 2, limit: 10, want: read{[]string{"2:c"}, 0, 3}},
		{name: "from the end", from: 3, limit: 10, want: read{nil, 0, 3}},
		{
			name: "append two", append: []string{"d", "e"}, first: 3, from: 2, limit: 10,
			want: read{[]string{"2:c", "3:d", "4:e"}, 0, 5},
		},
		{name: "from above the end", from: 4, limit: 10, readFailed: verdict{Ahead: &backoffice.AheadError{Stream: "s", From: 4, End: 3}}},
		{
			name:    "tail lost",
			prepare: func(_ context.Context, _ *testing.T, l *logBackend) { l.truncate("s", 1) },
			from:    3, limit: 10,
			readFailed: verdict{Ahead: &backoffice.AheadError{Stream: "s", From: 3, End: 1}},
		},
		{
			name:    "head trimmed, from below",
			prepare: func(_ context.Context, _ *testing.T, l *logBackend) { l.retain(2) },
			append:  []string{"d", "e"}, first: 3, from: 2, limit: 10,
			readFailed: verdict{Trimmed: &backoffice.TrimmedError{Stream: "s", From: 2, Oldest: 3, End: 5}},
		},
		{
			name:    "head trimmed, from the oldest",
			prepare: func(_ context.Context, _ *testing.T, l *logBackend) { l.retain(2) },
			append:  []string{"d", "e"}, first: 3, from: 3, limit: 10,
			want: read{[]string{"3:d", "4:e"}, 3, 5},
		},
		{
			name:    "down",
			prepare: func(_ context.Context, _ *testing.T, l *logBackend) { l.faults(true, 0) },
			append:  []string{"d"}, failed: verdict{Unavailable: true}, limit: 10,
			readFailed: verdict{Unavailable: true},
		},
		{
			name: "down and back: the refused record is not there",
			prepare: func(ctx context.Context, t *testing.T, l *logBackend) {
				l.faults(true, 0)
				if _, err := l.Append(ctx, "s", records("x")); err == nil {
					t.Fatal("appended while down")
				}
				l.faults(false, 0)
			},
			append: []string{"d"}, first: 3, from: 3, limit: 10, want: read{[]string{"3:d"}, 0, 4},
		},
		{
			name:    "answer lost: the record is there, and just once",
			prepare: func(_ context.Context, _ *testing.T, l *logBackend) { l.faults(false, 1) },
			append:  []string{"d"}, failed: verdict{Unavailable: true, Unknown: true}, from: 3, limit: 10,
			want: read{[]string{"3:d"}, 0, 4},
		},
		{
			name: "two answers lost",
			prepare: func(ctx context.Context, t *testing.T, l *logBackend) {
				l.faults(false, 2)
				if _, err := l.Append(ctx, "s", records("d")); err == nil {
					t.Fatal("the answer was not lost")
				}
			},
			append: []string{"d"}, failed: verdict{Unavailable: true, Unknown: true}, from: 3, limit: 10,
			want: read{[]string{"3:d", "4:d"}, 0, 5},
		},
	}
	for _, c := range cases {
		onBoth(t, c.name, httpLog, fakeLog, func(t *testing.T, l *logBackend) {
			ctx := t.Context()
			mustAppend(ctx, t, l, "a", "b", "c")
			if c.prepare != nil {
				c.prepare(ctx, t, l)
			}
			if c.append != nil {
				first, err := l.Append(ctx, "s", records(c.append...))
				checkVerdict(t, "append", c.failed, ignoreStatus(classify(err)))
				if first != c.first {
					t.Errorf("first = %d, want %d", first, c.first)
				}
			}
			got, err := l.Read(ctx, "s", c.from, c.limit, 0)
			checkVerdict(t, "read", c.readFailed, ignoreStatus(classify(err)))
			if diff := cmp.Diff(c.want, read{texts(got), got.Oldest, got.End}); diff != "" {
				t.Errorf("batch (-want +got):\n%s", diff)
			}
		})
	}
}

func TestLogContractWait(t *testing.T) {
	for _, b := range []struct {
		name string
		make func(*testing.T) *logBackend
	}{{"stand-in", httpLog}, {"fake", fakeLog}} {
		t.Run(b.name, func(t *testing.T) {
			ctx, l := t.Context(), b.make(t)
			got := make(chan []string, 1)
			go func() {
				batch, err := l.Read(ctx, "s", 0, 10, 60*clock.Second)
				if err != nil {
					t.Error(err)
				}
				got <- texts(batch)
			}()
			mustAppend(ctx, t, l, "a")
			if diff := cmp.Diff([]string{"0:a"}, <-got); diff != "" {
				t.Errorf("read (-want +got):\n%s", diff)
			}
		})
	}
}
