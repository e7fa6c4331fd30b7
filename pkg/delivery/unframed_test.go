package delivery

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// relayedStream is what a caller gets of a stream: its bytes, and whether they look complete.
type relayedStream struct {
	Text  string
	Whole bool
}

// relayStream relays a stream that is read from body, with a Content-Length unless it is unframed.
func relayStream(t *testing.T, body io.Reader, unframed bool, lastEventID string) (relayedStream, error) {
	t.Helper()
	rec := &recorder{}
	call := &request.Call{Route: &catalogue.Route{Streaming: true}, Writer: rec, LastEventID: lastEventID}
	a := &relayAttempt{Relay: &Relay{Clock: clock.NewReal()}, call: call, ctx: context.Background(), stop: func(error) {}}
	resp := &http.Response{StatusCode: http.StatusOK, ContentLength: 1, Body: io.NopCloser(body)}
	if unframed {
		resp.ContentLength = -1
	}
	err := a.stream(resp, request.Head{Status: http.StatusOK}, func() {})
	return relayedStream{rec.text.String(), rec.end != nil}, err
}

// resetAfter returns a reader that fails as a connection does that is reset after the text.
func resetAfter(text string) io.Reader {
	return io.MultiReader(strings.NewReader(text), iotest.ErrReader(syscall.ECONNRESET))
}

// A stream that ends with its connection must not look complete after a cut.
func TestP07UnframedStreamIsCompleteOrRefused(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for _, c := range []struct {
		name        string
		body        io.Reader
		framed      bool
		lastEventID string
		want        relayedStream
	}{
		{name: "complete", body: strings.NewReader(first + second), want: relayedStream{first + second, true}},
		{name: "one byte at a time", body: iotest.OneByteReader(strings.NewReader(first + second)), want: relayedStream{first + second, true}},
		{name: "reset between events", body: resetAfter(first), want: relayedStream{first, false}},
		{name: "reset within an event", body: resetAfter(first + second[:9]), want: relayedStream{first, false}},
		{name: "reset before the first event", body: resetAfter(""), want: relayedStream{"", false}},
		{name: "closed within an event", body: strings.NewReader(first + second[:9]), want: relayedStream{first, false}},
		{name: "closed before the end of the last line", body: strings.NewReader(first + second[:len(second)-1]), want: relayedStream{first, false}},
		{name: "closed before the first event", body: strings.NewReader(""), want: relayedStream{"", false}},
		{name: "framed stream without an event", body: strings.NewReader(""), framed: true, want: relayedStream{"", true}},
		{name: "no event after the last one", body: strings.NewReader(""), lastEventID: "2", want: relayedStream{"", true}},
		{name: "reset after the last event", body: resetAfter(""), lastEventID: "2", want: relayedStream{"", false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := relayStream(t, c.body, !c.framed, c.lastEventID)
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("stream (-want +got):\n%s", diff)
			}
			if (err == nil) != c.want.Whole {
				t.Errorf("got error %v, want one only if the stream isn't whole", err)
			}
		})
	}
}

// openRelay returns a relay that permits all calls.
func openRelay(t *testing.T, wire Wire) *Relay {
	t.Helper()
	f := &Relay{
		Clock: clock.NewReal(), Log: logr.Discard(), Wire: wire, Dial: (&net.Dialer{}).DialContext,
		Permit: func(*request.Call) error { return nil },
	}
	f.Open()
	t.Cleanup(f.Close)
	return f
}

// uploadWire is a plainWire that sends the body of the call.
type uploadWire struct{ plainWire }

func (uploadWire) Request(c *request.Call, _ clock.Millis) *http.Request {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.Upstream.Address+"/", bytes.NewReader(c.Request.Body))
	if err != nil {
		panic(err)
	}
	return req
}

// Guards against a part of an answer that passes for all of it because the writer of a long upload met the reset first.
func TestUnframedAnswerThatIsResetDuringAnUploadIsCut(t *testing.T) {
	const uploads, part = 40, "HTTP/1.1 200 OK\r\n\r\npart of the answer"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(conn, make([]byte, 64<<10))
			_, _ = io.WriteString(conn, part)
			// The part arrives before the reset does.
			time.Sleep(5 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	f := openRelay(t, uploadWire{})
	body := make([]byte, 8<<20)
	complete := 0
	for range uploads {
		rec := &recorder{}
		err := f.Filter(t.Context(), &request.Call{
			Request:  &request.Request{ID: "r", Deadline: f.Clock.Now() + 20*clock.Second, Body: body},
			Route:    &catalogue.Route{},
			Upstream: &catalogue.Upstream{Name: "u", Address: l.Addr().String()},
			Writer:   rec,
		}, nil)
		if err == nil || rec.end != nil {
			complete++
		}
	}
	if complete > 0 {
		t.Errorf("%d of %d answers that were cut look complete", complete, uploads)
	}
}

// The log couldn't tell an answer that ends with its connection from others.
func TestRelayRecordsFraming(t *testing.T) {
	for _, c := range []struct {
		name, encoding string
		want           bool
	}{
		{"with a Content-Length", "", false},
		{"chunked", "chunked", false},
		{"unframed", "identity", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.encoding != "" {
					w.Header().Set("Transfer-Encoding", c.encoding)
				}
				_, _ = io.WriteString(w, "booked")
			}))
			defer server.Close()
			f := openRelay(t, plainWire{})
			rec := &recorder{}
			call := &request.Call{
				Request:  &request.Request{ID: "r", Deadline: f.Clock.Now() + 20*clock.Second},
				Route:    &catalogue.Route{},
				Upstream: &catalogue.Upstream{Name: "u", Address: strings.TrimPrefix(server.URL, "http://")},
				Writer:   rec,
			}
			err := f.Filter(context.Background(), call, nil)
			if err != nil || rec.text.String() != "booked" || call.Unframed != c.want {
				t.Errorf("got %q and error %v, unframed %t, want %t", rec.text.String(), err, call.Unframed, c.want)
			}
		})
	}
}

// FuzzUnframedStream relays arbitrary bytes as a stream that ends with its connection: the caller gets a prefix of them, whole
// events only, and a stream that was reset or ends within an event never looks complete.
func FuzzUnframedStream(f *testing.F) {
	for _, seed := range []string{
		"", "\n\n", "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\r\ndata: a\r\n\r\n", ": ping\n\n", "\x00\n\n\n", "data: a\n\n ",
	} {
		for _, reset := range []bool{false, true} {
			f.Add([]byte(seed), reset, true)
			f.Add([]byte(seed), reset, false)
		}
	}
	f.Fuzz(func(t *testing.T, b []byte, reset, slow bool) {
		var body io.Reader = bytes.NewReader(b)
		if reset {
			body = resetAfter(string(b))
		}
		if slow {
			body = iotest.OneByteReader(body)
		}
		got, err := relayStream(t, body, true, "")
		if (err == nil) != got.Whole {
			t.Fatalf("got error %v for a stream that is whole: %t", err, got.Whole)
		}
		if !strings.HasPrefix(string(b), got.Text) || got.Text != "" && !strings.HasSuffix(got.Text, "\n\n") {
			t.Errorf("got %q, want whole events from the start of %q", got.Text, b)
		}
		rest := bytes.TrimSpace(b[len(got.Text):])
		if want := !reset && len(rest) == 0 && got.Text != ""; got.Whole != want {
			t.Errorf("stream %q looks complete: %t, want %t", b, got.Whole, want)
		}
	})
}
