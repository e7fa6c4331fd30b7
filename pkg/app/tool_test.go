package app

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/desk"
	"carawayknot.example/carawayknot/pkg/request"
)

const testKey = "0123456789abcdef"

// fakeInstance serves canned replies for the caller and admin APIs, by method and path, and keeps the bodies it receives.
type fakeInstance struct {
	replies map[string]reply

	mu     sync.Mutex
	bodies map[string]string
}

type reply struct {
	status int
	body   string
	header map[string]string
}

func (s *fakeInstance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	key := r.Method + " " + r.URL.RequestURI()
	s.mu.Lock()
	s.bodies[key] = string(body)
	s.mu.Unlock()
	if r.Header.Get("Authorization") != "Bearer "+testKey {
		w.WriteHeader(http.StatusUnauthorized)
		_ = json.NewEncoder(w).Encode(desk.ErrorBody{Reason: request.ReasonUnauthorized, Detail: "send the key"})
		return
	}
	rep, found := s.replies[key]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		_ = json.NewEncoder(w).Encode(desk.ErrorBody{Reason: request.ReasonNotFound, Detail: "no " + key})
		return
	}
	for name, v := range rep.header {
		w.Header().Set(name, v)
	}
	w.WriteHeader(rep.status)
	_, _ = io.WriteString(w, rep.body)
}

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const (
	keyDigest    = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
	testDocument = `{
	// Chai houses.
	"Workspaces": [{"Name": "guests", "KeyDigest": "` + keyDigest + `", "Versions": ["chai@1"]}],
	"Zones": [{"Name": "arusha-1", "Out": false}, {"Name": "arusha-2"}],
}`
	currentConfig   = `{"Revision": 9, "Zones": {"arusha-1": {"Name": "arusha-1", "Out": true}, "old": {"Name": "old"}}, "Objects": {"Zone/arusha-1": 5, "Zone/old": 6}}`
	acceptedReceipt = `{"ID": "c-1", "State": "Accepted", "Revision": 10}`
	// openStream is an event stream without its [DONE] event.
	openStream = "data: {\"choices\":[{\"delta\":{\"content\":\"karibu \"}}]}\n\ndata: {\"choices\":[{\"delta\":{\"content\":\"sana\"}}]}\n\n"
)

func TestToolCommands(t *testing.T) {
	validFile := writeFile(t, "config.json", testDocument)
	keyFile := writeFile(t, "a.key", testKey)
	wrongKeyFile := writeFile(t, "b.key", testKey+"x")
	routeHeader := map[string]string{desk.HeaderVersion: "chai@1", desk.HeaderUpstream: "engine-1", desk.HeaderRequestID: "r-1", desk.HeaderCost: "9", desk.HeaderOutcome: "Ran"}
	chatArgs := []string{"request", "--profile", "chat", "--workspace-key-file", keyFile, "habari"}
	for _, c := range []struct {
		name    string
		args    []string
		replies map[string]reply
		code    int
		// out and errOut are parts of stdout and stderr, sent is part of the request bodies.
		out    string
		errOut string
		sent   string
	}{
		{name: "help", args: []string{"--help"}, code: ExitOK, out: "completion-script-bash"},
		{name: "version", args: []string{"--version"}, code: ExitOK},
		{name: "completion", args: []string{"--completion-script-bash"}, code: ExitOK},
		{name: "no command", args: []string{}, code: ExitUsage},
		{name: "unknown command", args: []string{"fly"}, code: ExitUsage, errOut: "--help"},
		{name: "no key file", args: []string{"--key-file", "", "zone", "list"}, code: ExitUsage, errOut: "CARAWAYKNOT_KEY_FILE"},
		{name: "wrong key", args: []string{"--key-file", wrongKeyFile, "zone", "list"}, code: ExitFailed, errOut: "Unauthorized"},
		{name: "unreachable instance", args: []string{"--admin", "http://127.0.0.1:1", "zone", "list"}, code: ExitUnreachable, errOut: "another instance"},
		{name: "check", args: []string{"config", "check", validFile}, code: ExitOK, out: "3 objects are valid"},
		{name: "check of an unknown field", args: []string{"config", "check", writeFile(t, "x.json", "{\n\"Zonez\": []}")}, code: ExitUsage, errOut: "x.json:2"},
		{name: "check of an invalid digest", args: []string{"config", "check", writeFile(t, "x.json", strings.Replace(testDocument, keyDigest, "00", 1))}, code: ExitUsage, errOut: "KeyDigest"},
		{name: "check of a duplicate object", args: []string{"config", "check", writeFile(t, "x.json", `{"Zones": [{"Name": "a"}, {"Name": "a"}]}`)}, code: ExitUsage, errOut: "duplicate object Zone/a"},
		{name: "check without a file", args: []string{"config", "check", "/nowhere.json"}, code: ExitUsage, errOut: "nowhere"},
		{name: "apply", args: []string{"config", "apply", "--note", "spring", validFile}, code: ExitOK, out: "Accepted",
			replies: map[string]reply{"GET /admin/v1/config": {200, currentConfig, nil}, "POST /admin/v1/changes": {200, acceptedReceipt, nil}},
			sent:    `"Note":"spring","Edits":[{"Kind":"Workspace","Name":"guests","Base":0,`},
		{name: "apply with pruning, dry run", args: []string{"config", "apply", "--prune", "--dry-run", validFile}, code: ExitOK, out: "remove  Zone       old       6",
			replies: map[string]reply{"GET /admin/v1/config": {200, currentConfig, nil}}},
		{name: "apply, not yet confirmed", args: []string{"config", "apply", validFile}, code: ExitRecorded, out: "entry-2", errOut: "MISSING",
			replies: map[string]reply{"GET /admin/v1/config": {200, currentConfig, nil},
				"POST /admin/v1/changes": {202, `{"ID": "c-1", "State": "Recorded", "Missing": ["entry-2"]}`, nil}}},
		{name: "apply, revision conflict", args: []string{"config", "apply", validFile}, code: ExitFailed, out: "is at revision 6", errOut: "config show",
			replies: map[string]reply{"GET /admin/v1/config": {200, currentConfig, nil},
				"POST /admin/v1/changes": {409, `{"ID": "c-1", "State": "Refused", "Why": "Zone old is at revision 6"}`, nil}}},
		{name: "show", args: []string{"config", "show"}, code: ExitOK, out: "// Revision 9",
			replies: map[string]reply{"GET /admin/v1/config": {200, currentConfig, nil}}},
		{name: "history", args: []string{"config", "history"}, code: ExitOK, out: "1970-01-01 00:00:01Z",
			replies: map[string]reply{"GET /admin/v1/history?limit=20": {200, `[{"ID": "c-1", "Revision": 3, "At": 1000}]`, nil}}},
		{name: "zone out", args: []string{"zone", "out", "arusha-1"}, code: ExitOK, out: "Accepted", sent: `{"Out":true,"Note":""}`,
			replies: map[string]reply{"POST /admin/v1/zones/arusha-1": {200, acceptedReceipt, nil}}},
		{name: "zone list", args: []string{"zone", "list"}, code: ExitOK, out: "arusha-1  yes  engine-1   entry-1",
			replies: map[string]reply{"GET /admin/v1/zones": {200, `[{"Name": "arusha-1", "Out": true, "Upstreams": ["engine-1"], "Members": ["entry-1"]}]`, nil}}},
		{name: "zone list as JSON", args: []string{"--json", "zone", "list"}, code: ExitOK, out: `"Name": "arusha-1"`,
			replies: map[string]reply{"GET /admin/v1/zones": {200, `[{"Name": "arusha-1"}]`, nil}}},
		{name: "withdraw", args: []string{"version", "withdraw", "chai@1"}, code: ExitOK, sent: `{"Withdrawn":true,"Note":""}`,
			replies: map[string]reply{"POST /admin/v1/versions/chai@1": {200, acceptedReceipt, nil}}},
		{name: "rollout", args: []string{"version", "rollout", "chai", "--to", "chai@2", "--share", "0.25", "--resume"}, code: ExitOK,
			sent:    `{"From":null,"To":"chai@2","Share":0.25,"Held":false,"Note":""}`,
			replies: map[string]reply{"POST /admin/v1/rollouts/chai": {200, acceptedReceipt, nil}}},
		{name: "hold and resume", args: []string{"version", "rollout", "chai", "--hold", "--resume"}, code: ExitUsage, errOut: "not both"},
		{name: "version list", args: []string{"version", "list"}, code: ExitOK, out: "to, share 0.10, held: ratings fell",
			replies: map[string]reply{"GET /admin/v1/versions": {200, `[{"Version": {"ID": "chai@2"}, "Rollout": {"To": "chai@2", "Share": 0.1, "Held": true, "Evidence": "ratings fell"}}]`, nil}}},
		{name: "upstream list", args: []string{"upstream", "list"}, code: ExitOK, out: "cold",
			replies: map[string]reply{"GET /admin/v1/upstreams": {200, `[{"Name": "engine-1", "Cold": true}]`, nil}}},
		{name: "drain", args: []string{"upstream", "drain", "--undo", "engine-1"}, code: ExitOK, sent: `{"Drained":false,"Note":""}`,
			replies: map[string]reply{"POST /admin/v1/upstreams/engine-1": {200, acceptedReceipt, nil}}},
		{name: "state", args: []string{"state", "--all"}, code: ExitOK, out: `"entry-1": {}`,
			replies: map[string]reply{"GET /admin/v1/state?scope=all": {200, `{"entry-1": {}}`, nil}}},
		{name: "bill", args: []string{"bill", "r 1"}, code: ExitOK, out: `"Cost": 9`,
			replies: map[string]reply{"GET /admin/v1/bills?request=r+1": {200, `{"Cost": 9}`, nil}}},
		{name: "request", args: chatArgs, code: ExitOK, out: "karibu sana\n", errOut: "version chai@1  upstream engine-1  outcome Ran  cost 9",
			sent:    `{"messages":[{"role":"user","content":"habari"}],"stream":true}`,
			replies: map[string]reply{"POST /v1/chat/completions": {200, openStream + "data: [DONE]\n\n", routeHeader}}},
		{name: "request with an incomplete answer", args: chatArgs, code: ExitFailed, out: "karibu sana\n", errOut: "incomplete answer",
			replies: map[string]reply{"POST /v1/chat/completions": {200, openStream, routeHeader}}},
		{name: "request with an error event", args: chatArgs, code: ExitFailed, errOut: "AnswerIncomplete: cut (retry in 0.5 s)",
			replies: map[string]reply{"POST /v1/chat/completions": {200, openStream + "event: error\ndata: {\"Outcome\": \"MayHaveRun\", \"Reason\": \"AnswerIncomplete\", \"Detail\": \"cut\", \"RetryAfter\": 500}\n\n", routeHeader}}},
		{name: "request that is refused", args: chatArgs, code: ExitFailed, errOut: "Overloaded",
			replies: map[string]reply{"POST /v1/chat/completions": {503, `{"Outcome": "NotRun", "Reason": "Overloaded"}`, nil}}},
		{name: "service request", args: []string{"request", "--service", "booking", "--path", "/tables", "--request-key", "k-1", "--workspace-key-file", keyFile, "six"},
			code: ExitOK, out: "booked", sent: "six",
			replies: map[string]reply{"POST /services/booking/tables": {201, "booked", routeHeader}}},
		{name: "request without a profile", args: []string{"request", "--workspace-key-file", keyFile, "x"}, code: ExitUsage, errOut: "--profile"},
	} {
		t.Run(c.name, func(t *testing.T) {
			fake := &fakeInstance{replies: c.replies, bodies: map[string]string{}}
			srv := httptest.NewServer(fake)
			defer srv.Close()
			t.Setenv("CARAWAYKNOT_ADMIN", srv.URL)
			t.Setenv("CARAWAYKNOT_URL", srv.URL)
			t.Setenv("CARAWAYKNOT_KEY_FILE", keyFile)
			var out, errOut bytes.Buffer
			code := RunTool(c.args, strings.NewReader(""), &out, &errOut, nil)
			if code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if !strings.Contains(out.String(), c.out) || !strings.Contains(errOut.String(), c.errOut) {
				t.Errorf("stdout:\n%s\nstderr:\n%s\nwant %q and %q", out.String(), errOut.String(), c.out, c.errOut)
			}
			sent := ""
			for _, body := range fake.bodies {
				sent += body
			}
			if !strings.Contains(sent, c.sent) {
				t.Errorf("sent bodies %s, want %s in them", sent, c.sent)
			}
		})
	}
}

// TestApplyingConfigShowChangesNothing applies the document that config show prints, which must yield no edits.
func TestApplyingConfigShowChangesNothing(t *testing.T) {
	var s catalogue.State
	if err := json.Unmarshal([]byte(currentConfig), &s); err != nil {
		t.Fatal(err)
	}
	b, err := json.Marshal(documentOf(&s))
	if err != nil {
		t.Fatal(err)
	}
	d, err := parseDocument("shown.json", b)
	if err != nil {
		t.Fatal(err)
	}
	edits, err := d.edits("shown.json", &s, true)
	if err != nil || len(edits) != 0 {
		t.Errorf("got edits %v and error %v, want none", edits, err)
	}
}
