package delivery

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// noticeWire reads a notice from any response.
type noticeWire struct{ plainWire }

func (noticeWire) Notice(*http.Response, clock.Millis) request.Notice {
	return request.Notice{PauseFor: clock.Second}
}

// Guards against what an upstream says in the answer to an attempt that was given up being lost, against the caller waiting for it, and against
// the upstream working on for nobody.
func TestHeadOfAGivenUpAttemptIsRead(t *testing.T) {
	cancelled := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
		time.Sleep(100 * time.Millisecond)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	noticed := make(chan string, 1)
	r := newGivenUpRelay(func(u *catalogue.Upstream, n request.Notice) { noticed <- u.Name })
	defer r.Close()
	ctx, leave := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, leave)
	c := givenUpCall(r, srv, "u1")
	err := r.Filter(ctx, c, nil)
	var refusal *request.Refusal
	if !errors.As(err, &refusal) || refusal.Reason != request.ReasonCallerGone || !refusal.GivenUp {
		t.Errorf("got %v, want a call whose caller has gone", err)
	}
	select {
	case <-noticed:
		t.Error("the caller waited for the answer")
	default:
	}
	// The call may be at its next attempt meanwhile.
	c.Upstream = &catalogue.Upstream{Name: "u2"}
	<-cancelled
	if name := <-noticed; name != "u1" {
		t.Errorf("the answer was taken for one of %s, want u1", name)
	}
}

// Guards against memory and connections growing with the attempts that are given up at a silent upstream.
func TestGivenUpAttemptsAreBounded(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer srv.Close()
	r := newGivenUpRelay(nil)
	defer r.Close()
	var wg sync.WaitGroup
	for range 2 * maxGivenUp {
		wg.Go(func() {
			ctx, leave := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer leave()
			_ = r.Filter(ctx, givenUpCall(r, srv, "u1"), nil)
		})
	}
	wg.Wait()
	if n := r.givenUp.n.Load(); n > maxGivenUp {
		t.Errorf("%d heads are awaited, want at most %d", n, maxGivenUp)
	}
}

func newGivenUpRelay(onNotice func(*catalogue.Upstream, request.Notice)) *Relay {
	r := &Relay{
		Clock: clock.NewReal(), Log: logr.Discard(), Wire: noticeWire{}, Permit: func(*request.Call) error { return nil },
		Dial: (&net.Dialer{}).DialContext, OnNotice: onNotice,
	}
	r.Open()
	return r
}

func givenUpCall(r *Relay, srv *httptest.Server, upstream string) *request.Call {
	return &request.Call{
		Request:  &request.Request{Method: http.MethodGet, Target: "/", Deadline: r.Clock.Now() + 60*clock.Second},
		Route:    &catalogue.Route{Repeatable: true},
		Upstream: &catalogue.Upstream{Name: upstream, Address: strings.TrimPrefix(srv.URL, "http://")},
		Writer:   discardWriter{},
	}
}
