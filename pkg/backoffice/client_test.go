package backoffice_test

import (
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/standin"
)

// answer returns a handler that reads the request and answers with a status and a body.
func answer(status int, header, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if name, value, found := strings.Cut(header, ": "); found {
			w.Header().Set(name, value)
		}
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func TestClientErrors(t *testing.T) {
	limited := &backoffice.LimitedError{Service: "log", RetryAfter: 7 * clock.Second}
	cases := []struct {
		name    string
		handler http.HandlerFunc
		append  verdict
		read    verdict
	}{
		{
			name: "over the rate", handler: answer(http.StatusTooManyRequests, "Retry-After: 7", ""),
			append: verdict{Unavailable: true, Limited: limited}, read: verdict{Unavailable: true, Limited: limited},
		},
		{
			name: "down", handler: answer(http.StatusServiceUnavailable, "", "{}"),
			append: verdict{Unavailable: true, Status: 503}, read: verdict{Unavailable: true, Status: 503},
		},
		{
			name: "failed", handler: answer(http.StatusInternalServerError, "", "oops"),
			append: verdict{Unavailable: true, Unknown: true, Status: 500}, read: verdict{Unavailable: true, Status: 500},
		},
		{
			name: "wrong request", handler: answer(http.StatusBadRequest, "", "no"),
			append: verdict{Status: 400}, read: verdict{Status: 400},
		},
		{
			name: "redirect", handler: answer(http.StatusTemporaryRedirect, "Location: /elsewhere", ""),
			append: verdict{Unavailable: true, Unknown: true, Status: 307}, read: verdict{Unavailable: true, Status: 307},
		},
		{
			name: "no JSON", handler: answer(http.StatusOK, "", "<html>"),
			append: verdict{Unavailable: true, Unknown: true, BadReply: true}, read: verdict{BadReply: true},
		},
		{
			name: "cut JSON", handler: answer(http.StatusOK, "", `{"First": 1`),
			append: verdict{Unavailable: true, Unknown: true, BadReply: true}, read: verdict{BadReply: true},
		},
		{
			name: "entries out of order", handler: answer(http.StatusOK, "", `{"Entries": [{"Offset": 1}], "End": 9}`),
			read: verdict{BadReply: true},
		},
		{
			name: "end below the entries", handler: answer(http.StatusOK, "", `{"Entries": [{"Offset": 0}], "End": 0}`),
			read: verdict{BadReply: true},
		},
		{
			name: "connection closed before the answer", handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			append: verdict{Unavailable: true, Unknown: true}, read: verdict{Unavailable: true},
		},
		{
			name: "answer cut", handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(w, `{"First": 1}`)
				panic(http.ErrAbortHandler)
			},
			append: verdict{Unavailable: true, Unknown: true}, read: verdict{Unavailable: true},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			srv := serve(t, c.handler)
			l := &backoffice.Log{BaseURL: srv.URL}
			_, err := l.Append(t.Context(), "s", records("a"))
			checkVerdict(t, "append", c.append, classify(err))
			_, err = l.Read(t.Context(), "s", 0, 10, 0)
			checkVerdict(t, "read", c.read, classify(err))
		})
	}
}

func TestClientConnectRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	l := &backoffice.Log{BaseURL: "http://" + address}
	_, err = l.Append(t.Context(), "s", records("a"))
	checkVerdict(t, "append", verdict{Unavailable: true}, classify(err))
	err = (&backoffice.Engines{}).Cancel(t.Context(), address, "r", false)
	checkVerdict(t, "cancel", verdict{Unavailable: true}, classify(err))
}

// TestClientSendsOnce closes the connection of every append after it took effect, on fresh and on reused connections.
func TestClientSendsOnce(t *testing.T) {
	var appends atomic.Int64
	srv := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodGet {
			_, _ = io.WriteString(w, `{"End": 0}`)
			return
		}
		appends.Add(1)
		panic(http.ErrAbortHandler)
	}))
	l := &backoffice.Log{BaseURL: srv.URL, HTTP: srv.Client()}
	for range 3 {
		if _, err := l.Read(t.Context(), "s", 0, 1, 0); err != nil {
			t.Fatal(err)
		}
		if _, err := l.Append(t.Context(), "s", records("a")); !classify(err).Unknown {
			t.Errorf("append: %v, want Unknown", err)
		}
	}
	if diff := cmp.Diff(int64(3), appends.Load()); diff != "" {
		t.Errorf("appends (-want +got):\n%s", diff)
	}
}

func TestWeightsOverRate(t *testing.T) {
	s := &standin.Weights{}
	s.Switches.Update(func(f *standin.WeightsFaults) { f.FetchesPerSecond, f.RetryAfterSeconds = 1e-9, 60 })
	srv := serve(t, s.Handler())
	w := &backoffice.Weights{BaseURL: srv.URL, HTTP: srv.Client()}
	if err := w.Fetch(t.Context(), "m@1"); err != nil {
		t.Fatal(err)
	}
	want := verdict{Unavailable: true, Limited: &backoffice.LimitedError{Service: "weights", RetryAfter: 60 * clock.Second}}
	checkVerdict(t, "second fetch", want, classify(w.Fetch(t.Context(), "m@1")))
}

func TestListIsSentAgainOnlyWhenItChanged(t *testing.T) {
	list := standin.NewList()
	var bodies []int
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		list.Handler().ServeHTTP(rec, r)
		bodies = append(bodies, rec.Code)
		maps.Copy(w.Header(), rec.Header())
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	defer srv.Close()
	client := &backoffice.List{BaseURL: srv.URL}
	read := func() backoffice.Listing {
		t.Helper()
		l, err := client.Instances(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	list.Put(backoffice.Instance{Name: "engine-a"})
	first, second := read(), read()
	if &first.Instances[0] != &second.Instances[0] {
		t.Error("an unchanged list was made anew")
	}
	if second.AsOf < first.AsOf {
		t.Errorf("AsOf went back from %d to %d", first.AsOf, second.AsOf)
	}
	list.Put(backoffice.Instance{Name: "engine-b"})
	if diff := cmp.Diff(2, len(read().Instances)); diff != "" {
		t.Errorf("instances after a change (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{200, 304, 200}, bodies); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
}
