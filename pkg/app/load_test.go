package app

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/desk"
	"carawayknot.example/carawayknot/pkg/trace"
)

func TestLoadReportCountsOutcomes(t *testing.T) {
	ranHeader := map[string]string{desk.HeaderOutcome: "Ran"}
	refusedHeader := map[string]string{desk.HeaderOutcome: "NotRun"}
	eventStreamHeader := map[string]string{"Content-Type": "text/event-stream"}
	for _, c := range []struct {
		name  string
		reply reply
		want  LoadReport
	}{
		{"complete", reply{200, openStream + "data: [DONE]\n\n", eventStreamHeader}, LoadReport{Whole: 2}},
		{"ends early", reply{200, openStream, eventStreamHeader}, LoadReport{Broken: 2}},
		{"error event", reply{200, openStream + "event: error\ndata: {\"Reason\": \"Memory\"}\n\n", eventStreamHeader}, LoadReport{Broken: 2}},
		{"refused", reply{503, `{"Outcome": "NotRun"}`, refusedHeader}, LoadReport{NotRun: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			fake := &fakeInstance{bodies: map[string]string{}, replies: map[string]reply{
				"POST /v1/chat/completions": c.reply,
				"POST /services/booking/":   {200, "booked", ranHeader},
				"GET /services/booking/":    {200, "free", ranHeader},
			}}
			srv := httptest.NewServer(fake)
			defer srv.Close()
			l := &loadGenerator{
				target: srv.URL, workspaceKeys: map[string]string{"guests": testKey}, speed: 1000, clock: clock.NewReal(),
				trace: &trace.Trace{Requests: []trace.Request{
					{At: 0, ID: "a", Workspace: "guests", Profile: "chat", Prompt: "menu", InputTokens: 3, Deadline: 5000},
					{At: 10, ID: "b", Workspace: "guests", Profile: "chat", Once: true, Deadline: 5000},
					{At: 20, ID: "c", Workspace: "guests", Service: "booking", Once: true, Deadline: 5000},
					{At: 30, ID: "d", Workspace: "guests", Service: "booking", Deadline: 5000},
				}},
			}
			c.want.Kind = "chat"
			want := []LoadReport{{Kind: "booking", Whole: 2}, c.want}
			if diff := cmp.Diff(want, l.run(t.Context()), cmpopts.IgnoreTypes(LatencyPercentiles{})); diff != "" {
				t.Errorf("load reports (-want +got):\n%s", diff)
			}
		})
	}
}

func TestReplayCommand(t *testing.T) {
	tr, err := trace.Make("outage", 1)
	if err != nil {
		t.Fatal(err)
	}
	// One request is enough here; package trace tests the results of whole traces.
	tr.Requests, tr.Stated, tr.Events, tr.Duration = tr.Requests[:1], nil, nil, tr.Requests[0].At+clock.Second
	b, err := json.Marshal(tr)
	if err != nil {
		t.Fatal(err)
	}
	file := writeFile(t, "trace.json", "// Recorded.\n"+string(b))
	for _, c := range []struct {
		name string
		args []string
		code int
		out  string
	}{
		{"simulated", []string{"replay", file}, ExitOK, "router"},
		{"as JSON", []string{"--json", "replay", file}, ExitOK, `"Trace": "outage"`},
		{"no file", []string{"replay", "/nowhere.json"}, ExitUsage, "nowhere"},
		{"load without workspace keys", []string{"replay", file, "--target", "http://127.0.0.1:1"}, ExitUsage, "--workspace-key"},
		{"load at speed 0", []string{"replay", file, "--target", "http://127.0.0.1:1", "--speed", "0"}, ExitUsage, "--speed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			if code := RunTool(c.args, strings.NewReader(""), &out, &out, nil); code != c.code || !strings.Contains(out.String(), c.out) {
				t.Errorf("exit code %d; want %d and output with %q:\n%s", code, c.code, c.out, out.String())
			}
		})
	}
}
