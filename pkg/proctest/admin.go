package proctest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// admin calls the admin API and decodes the JSON body of a response of any status into out.
func (d *Daemon) admin(method, path string, in, out any) (int, error) {
	raw, err := json.Marshal(in)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(method, "http://"+d.Settings.AdminAddress+"/admin/v1/"+path, bytes.NewReader(raw))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+adminKey)
	resp, err := controlClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return resp.StatusCode, fmt.Errorf("decode response with status %d, body %q: %w", resp.StatusCode, body, err)
	}
	return resp.StatusCode, nil
}

// Apply sends a configuration change to the admin API and returns the HTTP status and the receipt.
func (d *Daemon) Apply(ch *catalogue.Change) (int, catalogue.Receipt, error) {
	var receipt catalogue.Receipt
	status, err := d.admin(http.MethodPost, "changes", ch, &receipt)
	return status, receipt, err
}

// Config returns the daemon's active configuration, or nil when the admin API does not answer with 200.
func (d *Daemon) Config() *catalogue.State {
	var out catalogue.State
	if status, err := d.admin(http.MethodGet, "config", nil, &out); err != nil || status != http.StatusOK {
		return nil
	}
	return &out
}

// Revision returns the daemon's active configuration revision, or 0 when the admin API does not answer with 200.
func (d *Daemon) Revision() catalogue.Revision {
	if c := d.Config(); c != nil {
		return c.Revision
	}
	return 0
}

// Upstreams returns the upstreams that the daemon knows, or nil when the admin API does not answer with 200.
func (d *Daemon) Upstreams() []catalogue.Upstream {
	var out []catalogue.Upstream
	if status, err := d.admin(http.MethodGet, "upstreams", nil, &out); err != nil || status != http.StatusOK {
		return nil
	}
	return out
}

// Bill returns the bill of a request as decoded JSON, or nil when there is none.
func (d *Daemon) Bill(requestID string) map[string]any {
	var out map[string]any
	if status, err := d.admin(http.MethodGet, "bills?request="+requestID, nil, &out); err != nil || status != http.StatusOK {
		return nil
	}
	return out
}

// AwaitRevision waits until the daemon's active revision is at least r, and fails the test after a timeout.
func (d *Daemon) AwaitRevision(r catalogue.Revision) {
	d.system.T.Helper()
	Eventually(d.system.T, convergenceTimeout, fmt.Sprintf("%s has activated revision %d", d.Settings.Name, r), func() bool {
		return d.Revision() >= r
	})
}

// AwaitUpstreams waits until the daemon knows at least n upstreams, and fails the test after a timeout.
func (d *Daemon) AwaitUpstreams(n int) {
	d.system.T.Helper()
	Eventually(d.system.T, convergenceTimeout, fmt.Sprintf("%s knows %d upstreams", d.Settings.Name, n), func() bool {
		return len(d.Upstreams()) >= n
	})
}
