package desk

import (
	"context"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/request"
)

const adminKey = "admin-key-0123456789"

// fakeOperators checks changes against its snapshot and records them.
type fakeOperators struct {
	snap    *catalogue.Snapshot
	changes []*catalogue.Change
	state   catalogue.ReceiptState
	err     error
}

func (f *fakeOperators) Apply(_ context.Context, ch *catalogue.Change) (catalogue.Receipt, error) {
	f.changes = append(f.changes, ch)
	if f.err != nil {
		return catalogue.Receipt{}, f.err
	}
	if err := f.snap.Config.Check(ch); err != nil {
		return catalogue.Receipt{ID: ch.ID, State: catalogue.ChangeRefused, Why: err.Error()}, nil
	}
	return catalogue.Receipt{ID: ch.ID, State: f.state, Revision: 8}, nil
}

func (f *fakeOperators) Snapshot() *catalogue.Snapshot { return f.snap }

func (f *fakeOperators) Dump(context.Context) any { return map[string]string{"Name": "entry-1"} }

func (f *fakeOperators) DumpAll(context.Context) map[string]any {
	return map[string]any{"entry-1": nil, "entry-2": nil}
}

// Bill finds a bill for request r-1 only.
func (f *fakeOperators) Bill(_ context.Context, id string) (any, bool, error) {
	return map[string]int{"Cost": 9}, id == "r-1", nil
}

func testAdmin() (*AdminHandler, *fakeOperators) {
	ops := &fakeOperators{snap: testSnapshot(testNow), state: catalogue.ChangeAccepted}
	return &AdminHandler{Common: testCommon(), Key: []byte(adminKey), Operators: ops, Bills: ops}, ops
}

func TestAdminRequiresKey(t *testing.T) {
	for _, c := range []struct {
		name string
		key  string
		auth string
	}{
		{"no key", adminKey, ""},
		{"wrong key", adminKey, "Bearer " + adminKey + "x"},
		{"key of a workspace", adminKey, "Bearer " + workspaceKey},
		{"empty key is no key", "", "Bearer "},
	} {
		t.Run(c.name, func(t *testing.T) {
			admin, ops := testAdmin()
			admin.Key = []byte(c.key)
			srv := serveTest(t, admin)
			for _, path := range []string{"state", "config", "zones/arusha-1", "nothing"} {
				resp, body := sendRequest(t, srv.URL, http.MethodPost, adminPrefix+path, `{"Out": true}`, map[string]string{"Authorization": c.auth})
				if resp.StatusCode != http.StatusUnauthorized || decodeError(t, body).Reason != request.ReasonUnauthorized {
					t.Errorf("%s: got status %d, want 401 Unauthorized: %s", path, resp.StatusCode, body)
				}
			}
			if len(ops.changes) != 0 {
				t.Errorf("got %d changes without the key, want none", len(ops.changes))
			}
		})
	}
}

func TestAdminBuildsChanges(t *testing.T) {
	for _, c := range []struct {
		name string
		path string
		body string
		want catalogue.Edit
	}{
		{"zone out", "zones/arusha-1", `{"Out": true, "Note": "power"}`,
			catalogue.Edit{Kind: catalogue.KindZone, Name: "arusha-1", Base: 3, Object: json.RawMessage(`{"Name":"arusha-1","Out":true}`)}},
		{"zone that is listed but not configured", "zones/arusha-2", `{"Out": true}`,
			catalogue.Edit{Kind: catalogue.KindZone, Name: "arusha-2", Object: json.RawMessage(`{"Name":"arusha-2","Out":true}`)}},
		{"version withdrawn", "versions/chai@1", `{"Withdrawn": true}`,
			catalogue.Edit{Kind: catalogue.KindVersion, Name: "chai@1", Base: 4, Object: json.RawMessage(
				`{"ID":"chai@1","InputCost":1000000,"OutputCost":2000000,"Quality":null,"Withdrawn":true}`)}},
		{"rollout begun", "rollouts/chai", `{"From": "chai@1", "To": "chai@2", "Share": 0.1}`,
			catalogue.Edit{Kind: catalogue.KindRollout, Name: "chai", Object: json.RawMessage(
				`{"Model":"chai","From":"chai@1","To":"chai@2","Share":0.1,"Held":false,"Evidence":""}`)}},
		{"upstream drained", "upstreams/engine-1", `{"Drained": true}`,
			catalogue.Edit{Kind: catalogue.KindUpstream, Name: "engine-1", Object: json.RawMessage(
				`{"Name":"engine-1","Drained":true,"ColdLimit":0,"WarmLimit":0,"ChecksFence":false,"RefusalIsNotRun":false}`)}},
		{"change", "changes", `{"ID": "c-1", "Edits": [{"Kind": "Zone", "Name": "arusha-1", "Base": 3, "Remove": true}]}`,
			catalogue.Edit{Kind: catalogue.KindZone, Name: "arusha-1", Base: 3, Remove: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			admin, ops := testAdmin()
			resp, body := sendRequest(t, serveTest(t, admin).URL, http.MethodPost, adminPrefix+c.path, c.body, adminHeaders())
			if resp.StatusCode != http.StatusOK || len(ops.changes) != 1 {
				t.Fatalf("got status %d and %d changes, want 200 and 1: %s", resp.StatusCode, len(ops.changes), body)
			}
			ch := ops.changes[0]
			if ch.ID == "" || ch.Author != "amina" || ch.At != testNow {
				t.Errorf("got change %q by %q at %d, want an id, amina and the time of the clock", ch.ID, ch.Author, ch.At)
			}
			if diff := cmp.Diff([]catalogue.Edit{c.want}, ch.Edits, cmp.Transformer("raw", func(r json.RawMessage) string { return string(r) })); diff != "" {
				t.Errorf("edits (-want +got):\n%s", diff)
			}
		})
	}
}

func adminHeaders() map[string]string {
	return map[string]string{"Authorization": "Bearer " + adminKey, HeaderAuthor: "amina"}
}

func TestAdminReportsChangeOutcome(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		body   string
		state  catalogue.ReceiptState
		err    error
		status int
		reason request.Reason
	}{
		{"held by a majority", "zones/arusha-1", `{"Out": true}`, catalogue.ChangeAccepted, nil, 200, ""},
		{"only in the log", "zones/arusha-1", `{"Out": true}`, catalogue.ChangeRecorded, nil, 202, ""},
		{"stale base", "changes", `{"Edits": [{"Kind": "Zone", "Name": "arusha-1", "Base": 2, "Remove": true}]}`, catalogue.ChangeAccepted, nil, 409, ""},
		{"refused as invalid", "zones/arusha-1", `{"Out": true}`, "", &catalogue.InvalidError{Field: "Share", Want: "a number"}, 400, request.ReasonBadRequest},
		{"refused as a conflict", "zones/arusha-1", `{"Out": true}`, "", &catalogue.ConflictError{Base: 1, Now: 2}, 409, ReasonConflict},
		{"log down", "zones/arusha-1", `{"Out": true}`, "", errors.New("the log is down"), 503, request.ReasonLogUnavailable},
		{"unknown zone", "zones/arsha-1", `{"Out": true}`, "", nil, 404, request.ReasonNotFound},
		{"unknown version", "versions/chai@9", `{}`, "", nil, 404, request.ReasonNotFound},
		{"unknown upstream", "upstreams/engine-9", `{}`, "", nil, 404, request.ReasonNotFound},
		{"unknown field", "zones/arusha-1", `{"Off": true}`, "", nil, 400, request.ReasonBadRequest},
		{"no edits", "changes", `{}`, "", nil, 400, request.ReasonBadRequest},
		{"not JSON", "changes", `{`, "", nil, 400, request.ReasonBadRequest},
		{"too large", "changes", `{"Note": "` + strings.Repeat("x", maxChangeBytes) + `"}`, "", nil, 413, request.ReasonTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			admin, ops := testAdmin()
			ops.state, ops.err = c.state, c.err
			resp, body := sendRequest(t, serveTest(t, admin).URL, http.MethodPost, adminPrefix+c.path, c.body, adminHeaders())
			reason := request.Reason("")
			if c.reason != "" {
				reason = decodeError(t, body).Reason
			}
			if resp.StatusCode != c.status || reason != c.reason {
				t.Errorf("got status %d and reason %q, want %d and %q: %s", resp.StatusCode, reason, c.status, c.reason, body)
			}
		})
	}
}

func TestAdminReads(t *testing.T) {
	for _, c := range []struct {
		path   string
		status int
		want   string
	}{
		{"config", 200, `"Revision":7`},
		{"history", 200, "null"},
		{"history?limit=x", 400, `"Field":"limit"`},
		{"state", 200, `{"Name":"entry-1"}`},
		{"state?scope=all", 200, `"entry-2":null`},
		{"state?scope=some", 400, `"Field":"scope"`},
		{"versions", 200, `"Upstreams":["engine-1"]`},
		{"upstreams", 200, `"Name":"desk-1"`},
		{"zones", 200, `"Name":"arusha-2","Out":false,"Revision":0,"Upstreams":["desk-1"]`},
		{"bills?request=r-1", 200, `{"Cost":9}`},
		{"bills?request=r-2", 404, "no bill"},
		{"bills", 400, `"Field":"request"`},
	} {
		t.Run(c.path, func(t *testing.T) {
			admin, _ := testAdmin()
			resp, body := sendRequest(t, serveTest(t, admin).URL, http.MethodGet, adminPrefix+c.path, "", adminHeaders())
			if resp.StatusCode != c.status || !strings.Contains(body, c.want) {
				t.Errorf("got status %d, want %d and a body with %s:\n%s", resp.StatusCode, c.status, c.want, body)
			}
		})
	}
}

func TestAdminBeforeFirstSnapshot(t *testing.T) {
	admin, ops := testAdmin()
	ops.snap = nil
	srv := serveTest(t, admin)
	for _, path := range []string{"config", "history", "versions", "upstreams", "zones"} {
		resp, body := sendRequest(t, srv.URL, http.MethodGet, adminPrefix+path, "", adminHeaders())
		if resp.StatusCode != http.StatusServiceUnavailable || decodeError(t, body).Reason != request.ReasonStaleView {
			t.Errorf("%s: got status %d, want 503 StaleView: %s", path, resp.StatusCode, body)
		}
	}
}

// TestEachReasonHasHTTPStatus parses the source of the reasons, so that a new one without a status is found.
func TestEachReasonHasHTTPStatus(t *testing.T) {
	f, err := parser.ParseFile(token.NewFileSet(), "../request/outcome.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	ast.Inspect(f, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || len(spec.Names) != 1 || !strings.HasPrefix(spec.Names[0].Name, "Reason") {
			return true
		}
		found++
		reason, err := strconv.Unquote(spec.Values[0].(*ast.BasicLit).Value)
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := statusByReason[request.Reason(reason)]; !ok {
			t.Errorf("reason %s has no HTTP status", reason)
		}
		return true
	})
	if found < len(statusByReason) {
		t.Errorf("found %d reasons in the source, want at least the %d of the table", found, len(statusByReason))
	}
}
