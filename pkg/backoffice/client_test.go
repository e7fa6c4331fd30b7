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

// respond returns a handler that reads the request and responds with a status, a header as "name: value" unless it is empty, and
// a body.
func respond(status int, header, body string) http.HandlerFunc {
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
	rateLimited := &backoffice.RateLimitedError{Service: "log", RetryAfter: 7 * clock.Second}
	cases := []struct {
		name       string
		handler    http.HandlerFunc
		wantAppend errorClass
		wantRead   errorClass
	}{
		{
			name: "rate limited", handler: respond(http.StatusTooManyRequests, "Retry-After: 7", ""),
			wantAppend: errorClass{Unavailable: true, RateLimited: rateLimited}, wantRead: errorClass{Unavailable: true, RateLimited: rateLimited},
		},
		{
			name: "down", handler: respond(http.StatusServiceUnavailable, "", "{}"),
			wantAppend: errorClass{Unavailable: true, Status: 503}, wantRead: errorClass{Unavailable: true, Status: 503},
		},
		{
			name: "failed", handler: respond(http.StatusInternalServerError, "", "oops"),
			wantAppend: errorClass{Unavailable: true, OutcomeUnknown: true, Status: 500}, wantRead: errorClass{Unavailable: true, Status: 500},
		},
		{
			name: "bad request", handler: respond(http.StatusBadRequest, "", "no"),
			wantAppend: errorClass{Status: 400}, wantRead: errorClass{Status: 400},
		},
		{
			name: "redirect", handler: respond(http.StatusTemporaryRedirect, "Location: /elsewhere", ""),
			wantAppend: errorClass{Unavailable: true, OutcomeUnknown: true, Status: 307}, wantRead: errorClass{Unavailable: true, Status: 307},
		},
		{
			name: "not JSON", handler: respond(http.StatusOK, "", "<html>"),
			wantAppend: errorClass{Unavailable: true, OutcomeUnknown: true, InvalidReply: true}, wantRead: errorClass{InvalidReply: true},
		},
		{
			name: "truncated JSON", handler: respond(http.StatusOK, "", `{"First": 1`),
			wantAppend: errorClass{Unavailable: true, OutcomeUnknown: true, InvalidReply: true}, wantRead: errorClass{InvalidReply: true},
		},
		{
			name: "entry with another offset than requested", handler: respond(http.StatusOK, "", `{"Entries": [{"Offset": 1}], "End": 9}`),
			wantRead: errorClass{InvalidReply: true},
		},
		{
			name: "end below the last entry", handler: respond(http.StatusOK, "", `{"Entries": [{"Offset": 0}], "End": 0}`),
			wantRead: errorClass{InvalidReply: true},
		},
		{
			name: "connection closed before the response", handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			wantAppend: errorClass{Unavailable: true, OutcomeUnknown: true}, wantRead: errorClass{Unavailable: true},
		},
		{
			name: "connection closed within the response", handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(w, `{"First": 1}`)
				panic(http.ErrAbortHandler)
			},
			wantAppend: errorClass{Unavailable: true, OutcomeUnknown: true}, wantRead: errorClass{Unavailable: true},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			srv := serve(t, c.handler)
			l := &backoffice.Log{BaseURL: srv.URL}
			_, err := l.Append(t.Context(), "s", records("a"))
			checkErrorClass(t, "append", c.wantAppend, classify(err))
			_, err = l.Read(t.Context(), "s", 0, 10, 0)
			checkErrorClass(t, "read", c.wantRead, classify(err))
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
	checkErrorClass(t, "append", errorClass{Unavailable: true}, classify(err))
	err = (&backoffice.Engines{}).Cancel(t.Context(), address, "r", false)
	checkErrorClass(t, "cancel", errorClass{Unavailable: true}, classify(err))
}

// TestClientSendsOnce checks that the client never retries an append: the server closes the connection once the append took
// effect, on new and on reused connections.
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
		if _, err := l.Append(t.Context(), "s", records("a")); !classify(err).OutcomeUnknown {
			t.Errorf("append: error %v, want one with OutcomeUnknown set", err)
		}
	}
	if diff := cmp.Diff(int64(3), appends.Load()); diff != "" {
		t.Errorf("appends (-want +got):\n%s", diff)
	}
}

func TestWeightsRateLimited(t *testing.T) {
	s := &standin.Weights{}
	s.Faults.Update(func(f *standin.WeightsFaults) { f.FetchesPerSecond, f.RetryAfterSeconds = 1e-9, 60 })
	srv := serve(t, s.Handler())
	w := &backoffice.Weights{BaseURL: srv.URL, HTTP: srv.Client()}
	if err := w.Fetch(t.Context(), "m@1"); err != nil {
		t.Fatal(err)
	}
	want := errorClass{Unavailable: true, RateLimited: &backoffice.RateLimitedError{Service: "weights", RetryAfter: 60 * clock.Second}}
	checkErrorClass(t, "second fetch", want, classify(w.Fetch(t.Context(), "m@1")))
}

func TestListIsFetchedOnlyAfterChanges(t *testing.T) {
	list := standin.NewList()
	var statuses []int
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		list.Handler().ServeHTTP(rec, r)
		statuses = append(statuses, rec.Code)
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
		t.Error("unchanged list: got a new slice, want the one of the first call")
	}
	if second.AsOf < first.AsOf {
		t.Errorf("AsOf decreased from %d to %d", first.AsOf, second.AsOf)
	}
	list.Put(backoffice.Instance{Name: "engine-b"})
	if diff := cmp.Diff(2, len(read().Instances)); diff != "" {
		t.Errorf("instances after a change (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{200, 304, 200}, statuses); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
}
