package proctest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"carawayknot.example/carawayknot/pkg/catalogue"
)

// admin sends a request to the admin API and decodes an answer of any status into out.
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
	resp, err := control.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return resp.StatusCode, fmt.Errorf("status %d, body %q: %w", resp.StatusCode, body, err)
	}
	return resp.StatusCode, nil
}

// Apply sends a change and returns the HTTP status and the receipt.
func (d *Daemon) Apply(ch *catalogue.Change) (int, catalogue.Receipt, error) {
	var receipt catalogue.Receipt
	status, err := d.admin(http.MethodPost, "changes", ch, &receipt)
	return status, receipt, err
}

// Config returns the configuration that the daemon has in force; nil when it does not answer.
func (d *Daemon) Config() *catalogue.State {
	var out catalogue.State
	if status, err := d.admin(http.MethodGet, "config", nil, &out); err != nil || status != http.StatusOK {
		return nil
	}
	return &out
}

// Revision returns the revision that the daemon has in force; 0 when it does not answer.
func (d *Daemon) Revision() catalogue.Revision {
	if c := d.Config(); c != nil {
		return c.Revision
	}
	return 0
}

// Upstreams returns the upstreams as the daemon sees them.
func (d *Daemon) Upstreams() []catalogue.Upstream {
	var out []catalogue.Upstream
	if status, err := d.admin(http.MethodGet, "upstreams", nil, &out); err != nil || status != http.StatusOK {
		return nil
	}
	return out
}

// Bill returns the bill of a request as JSON fields; nil when there is none.
func (d *Daemon) Bill(requestID string) map[string]any {
	var out map[string]any
	if status, err := d.admin(http.MethodGet, "bills?request="+requestID, nil, &out); err != nil || status != http.StatusOK {
		return nil
	}
	return out
}

// AwaitRevision waits until the daemon has the revision in force.
func (d *Daemon) AwaitRevision(r catalogue.Revision) {
	d.set.T.Helper()
	Eventually(d.set.T, settleTime, fmt.Sprintf("%s has revision %d", d.Settings.Name, r), func() bool {
		return d.Revision() >= r
	})
}

// AwaitUpstreams waits until the daemon sees that many upstreams.
func (d *Daemon) AwaitUpstreams(n int) {
	d.set.T.Helper()
	Eventually(d.set.T, settleTime, fmt.Sprintf("%s sees %d upstreams", d.Settings.Name, n), func() bool {
		return len(d.Upstreams()) >= n
	})
}
