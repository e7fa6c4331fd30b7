package desk

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/delivery"
	"carawayknot.example/carawayknot/pkg/request"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	workspaceKey = "guest-key-0123456789"
	testNow      = 1_000_000
)

func testConfig() *catalogue.State {
	s := catalogue.NewState()
	s.Revision = 7
	s.Workspaces["guests"] = &catalogue.Workspace{
		Name: "guests", KeyDigest: digestOf(workspaceKey), Profiles: []string{"chat", "gone"},
		Versions: []catalogue.VersionID{"chai@1"}, Services: []string{"booking"},
	}
	s.Profiles["chat"] = &catalogue.Profile{Name: "chat", Task: "chat", Deadline: 20_000}
	s.Profiles["notes"] = &catalogue.Profile{Name: "notes", Task: "notes"}
	s.Versions["chai@1"] = &catalogue.Version{ID: "chai@1", InputCost: 1_000_000, OutputCost: 2_000_000}
	s.Services["booking"] = &catalogue.Service{Name: "booking", RepeatableMethods: []string{"GET"}, Deadline: 5_000}
	s.Services["ledger"] = &catalogue.Service{Name: "ledger"}
	s.Zones["arusha-1"] = &catalogue.Zone{Name: "arusha-1"}
	s.Objects["Zone/arusha-1"] = 3
	s.Objects["Version/chai@1"] = 4
	return s
}

func testSnapshot(at clock.Millis) *catalogue.Snapshot {
	return &catalogue.Snapshot{
		At: at, Config: testConfig(),
		Upstreams: []*catalogue.Upstream{
			{Name: "engine-1", Role: catalogue.RoleEngine, Zone: "arusha-1", Versions: []catalogue.VersionID{"chai@1"}},
			{Name: "desk-1", Role: catalogue.RoleService, Zone: "arusha-2", Service: "booking"},
		},
		Members: []catalogue.Member{{Name: "entry-1", Zone: "arusha-1"}},
	}
}

func testCommon() settings.Common {
	s := settings.Default()
	s.Limits.BodyBytes = 1 << 10
	return settings.Common{Log: logr.Discard(), Settings: &s, Clock: clock.NewManual(testNow)}
}

// testCaller returns a CallerHandler that passes identified calls to handler.
func testCaller(snap *catalogue.Snapshot, handler request.HandlerFunc) *CallerHandler {
	common := testCommon()
	view := func() *catalogue.Snapshot { return snap }
	identify := &Identify{Common: common, Snapshot: view}
	return &CallerHandler{
		Common: common,
		Handler: request.HandlerFunc(func(ctx context.Context, c *request.Call) error {
			return identify.Filter(ctx, c, handler)
		}),
		Snapshot: view,
		Ready:    func() error { return nil },
		InFlight: &InFlight{},
		Budget:   &delivery.Budget{Total: 1 << 20, PerRequest: 64 << 10},
		Metrics:  NewMetrics(),
	}
}

// serveChat writes a response of two tokens.
func serveChat(ctx context.Context, c *request.Call) error {
	c.Version = &catalogue.Version{ID: "chai@1"}
	c.Upstream = &catalogue.Upstream{Name: "engine-1"}
	c.Pin = "pin-1"
	c.Usage = []request.Usage{{Version: "chai@1", Upstream: "engine-1", InputTokens: 5, OutputTokens: 2, Cost: 9}}
	if err := c.Writer.WriteHead(ctx, c, request.Head{Status: http.StatusOK}); err != nil {
		return err
	}
	for i, text := range []string{"karibu ", "sana"} {
		if err := c.Writer.WriteChunk(ctx, c, request.Chunk{Offset: i, Text: text, Tokens: 1}); err != nil {
			return err
		}
	}
	return c.Writer.WriteEnd(ctx, c, request.End{FinishReason: "stop", InputTokens: 5, OutputTokens: 2})
}

func serveTest(t *testing.T, h http.Handler) *httptest.Server {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv
}

// sendRequest sends a request with the workspace key, unless headers override it, and returns the response and its body;
// a body that ends in an error is marked as truncated.
func sendRequest(t *testing.T, base, method, path, body string, headers map[string]string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, base+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	for name, v := range headers {
		req.Header.Set(name, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Logf("reading the response: %v", err)
		b = append(b, "(truncated)"...)
	}
	return resp, string(b)
}

func decodeError(t *testing.T, body string) ErrorBody {
	t.Helper()
	var e ErrorBody
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		t.Fatalf("decoding the error body %q: %v", body, err)
	}
	return e
}
