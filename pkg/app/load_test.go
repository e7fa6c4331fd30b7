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

func TestLoadCountsWhatCallersSee(t *testing.T) {
	ran := map[string]string{desk.HeaderOutcome: "Ran"}
	refused := map[string]string{desk.HeaderOutcome: "NotRun"}
	events := map[string]string{"Content-Type": "text/event-stream"}
	for _, c := range []struct {
		name  string
		reply reply
		want  LoadReport
	}{
		{"whole", reply{200, stream + "data: [DONE]\n\n", events}, LoadReport{Whole: 2}},
		{"cut", reply{200, stream, events}, LoadReport{Broken: 2}},
		{"error event", reply{200, stream + "event: error\ndata: {\"Reason\": \"Memory\"}\n\n", events}, LoadReport{Broken: 2}},
		{"refused", reply{503, `{"Outcome": "NotRun"}`, refused}, LoadReport{NotRun: 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &instance{bodies: map[string]string{}, replies: map[string]reply{
				"POST /v1/chat/completions": c.reply,
				"POST /services/booking/":   {200, "booked", ran},
				"GET /services/booking/":    {200, "free", ran},
			}}
			srv := httptest.NewServer(s)
			defer srv.Close()
			l := &load{
				target: srv.URL, keys: map[string]string{"guests": testKey}, speed: 1000, clock: clock.NewReal(),
				trace: &trace.Trace{Requests: []trace.Request{
					{At: 0, ID: "a", Workspace: "guests", Profile: "chat", Prompt: "menu", InputTokens: 3, Deadline: 5000},
					{At: 10, ID: "b", Workspace: "guests", Profile: "chat", Once: true, Deadline: 5000},
					{At: 20, ID: "c", Workspace: "guests", Service: "booking", Once: true, Deadline: 5000},
					{At: 30, ID: "d", Workspace: "guests", Service: "booking", Deadline: 5000},
				}},
			}
			c.want.Kind = "chat"
			want := []LoadReport{{Kind: "booking", Whole: 2}, c.want}
			if diff := cmp.Diff(want, l.run(t.Context()), cmpopts.IgnoreTypes(LoadTimes{})); diff != "" {
				t.Errorf("report (-want +got):\n%s", diff)
			}
		})
	}
}

func TestReplayCommand(t *testing.T) {
	tr, err := trace.Make("outage", 1)
	if err != nil {
		t.Fatal(err)
	}
	// A start without requests is enough here; the traces themselves are judged by their own package.
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
		{"inside", []string{"replay", file}, ExitOK, "router"},
		{"as JSON", []string{"--json", "replay", file}, ExitOK, `"Trace": "outage"`},
		{"no file", []string{"replay", "/nowhere.json"}, ExitUsage, "nowhere"},
		{"as load without keys", []string{"replay", file, "--target", "http://127.0.0.1:1"}, ExitUsage, "--workspace-key"},
		{"as load at no speed", []string{"replay", file, "--target", "http://127.0.0.1:1", "--speed", "0"}, ExitUsage, "--speed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			if code := RunTool(c.args, strings.NewReader(""), &out, &out); code != c.code || !strings.Contains(out.String(), c.out) {
				t.Errorf("exit code %d, want %d and %q:\n%s", code, c.code, c.out, out.String())
			}
		})
	}
}
