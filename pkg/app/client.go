package app

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/desk"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// adminTime bounds one call of the admin API.
	adminTime = 30 * clock.Second
	// replyBytes bounds a reply of the admin API.
	replyBytes = 64 << 20
)

// client calls the admin API of one instance.
type client struct {
	base    string
	keyFile string
	author  string
}

// get reads path into out.
func (c *client) get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// call sends in as JSON and reads the reply into out.
func (c *client) call(ctx context.Context, method, path string, in, out any) error {
	status, body, err := c.send(ctx, method, path, in)
	if err != nil {
		return err
	}
	if status >= http.StatusBadRequest && !isReceipt(status, body) {
		return replyError(status, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &exitError{code: ExitFailed, cause: errors.Wrapf(err, "%s %s: unexpected reply; is --admin the admin address", method, path)}
	}
	return nil
}

func (c *client) send(ctx context.Context, method, path string, in any) (int, []byte, error) {
	req, err := c.request(ctx, method, path, in)
	if err != nil {
		return 0, nil, &exitError{code: ExitUsage, cause: err}
	}
	hc := &http.Client{Timeout: adminTime.Duration()}
	resp, err := hc.Do(req)
	if err != nil {
		err = errors.Wrap(err, "no answer; check --admin, or name another instance")
		return 0, nil, &exitError{code: ExitUnreachable, cause: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, replyBytes))
	if err != nil {
		err = errors.Wrap(err, "the reply broke off; look into the history before a change is made again")
		return 0, nil, &exitError{code: ExitUnreachable, cause: err}
	}
	return resp.StatusCode, body, nil
}

func (c *client) request(ctx context.Context, method, path string, in any) (*http.Request, error) {
	if c.keyFile == "" {
		return nil, errors.New("no admin key; name its file by --key-file or CARAWAYKNOT_KEY_FILE")
	}
	key, err := settings.ReadKey(c.keyFile)
	if err != nil {
		return nil, err
	}
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "body")
		}
		body = bytes.NewReader(b)
	}
	url := strings.TrimSuffix(c.base, "/") + "/admin/v1/" + path
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, errors.Wrap(err, "--admin")
	}
	req.Header.Set("Authorization", "Bearer "+string(key))
	if c.author != "" {
		req.Header.Set(desk.HeaderAuthor, c.author)
	}
	return req, nil
}

// isReceipt tells whether the reply is the receipt of a change that was refused.
func isReceipt(status int, body []byte) bool {
	var r catalogue.Receipt
	return status == http.StatusConflict && json.Unmarshal(body, &r) == nil && r.State != ""
}

// replyError returns what the error body of a reply says.
func replyError(status int, body []byte) error {
	var e desk.ErrorBody
	if json.Unmarshal(body, &e) != nil || e.Reason == "" {
		return &exitError{code: ExitFailed, cause: errors.Newf("status %d: %s", status, bytes.TrimSpace(body))}
	}
	msg := fmt.Sprintf("%s: %s", e.Reason, e.Detail)
	if e.Field != "" {
		msg = fmt.Sprintf("%s: %s: %s", e.Reason, e.Field, e.Detail)
	}
	if e.RetryAfter > 0 {
		msg += fmt.Sprintf(" (ask again in %.1f s)", e.RetryAfter.Seconds())
	}
	return &exitError{code: ExitFailed, cause: errors.New(msg)}
}
