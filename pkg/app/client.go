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
	adminCallTimeout = 30 * clock.Second
	// maxReplyBytes bounds the memory that a response body can take.
	maxReplyBytes = 64 << 20
)

// client calls the admin API of one instance.
type client struct {
	base    string
	keyFile string
	author  string
}

// get decodes the JSON response to a GET of path into out.
func (c *client) get(ctx context.Context, path string, out any) error {
	return c.call(ctx, http.MethodGet, path, nil, out)
}

// call sends in as JSON and decodes the JSON response into out; a refused change is a receipt, not an error.
func (c *client) call(ctx context.Context, method, path string, in, out any) error {
	status, body, err := c.send(ctx, method, path, in)
	if err != nil {
		return err
	}
	if status >= http.StatusBadRequest && !isReceipt(status, body) {
		return replyError(status, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &exitError{code: ExitFailed, cause: errors.Wrapf(err, "%s %s: unexpected response; check that --admin is the admin address", method, path)}
	}
	return nil
}

func (c *client) send(ctx context.Context, method, path string, in any) (int, []byte, error) {
	req, err := c.newRequest(ctx, method, path, in)
	if err != nil {
		return 0, nil, &exitError{code: ExitUsage, cause: err}
	}
	httpClient := &http.Client{Timeout: adminCallTimeout.Duration()}
	resp, err := httpClient.Do(req)
	if err != nil {
		err = errors.Wrap(err, "no response; check --admin or try another instance")
		return 0, nil, &exitError{code: ExitUnreachable, cause: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		err = errors.Wrap(err, "failed to read the whole response; check the change history before repeating a change")
		return 0, nil, &exitError{code: ExitUnreachable, cause: err}
	}
	return resp.StatusCode, body, nil
}

func (c *client) newRequest(ctx context.Context, method, path string, in any) (*http.Request, error) {
	if c.keyFile == "" {
		return nil, errors.New("no admin key; set --key-file or CARAWAYKNOT_KEY_FILE")
	}
	key, err := settings.ReadKey(c.keyFile)
	if err != nil {
		return nil, err
	}
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "encode request body")
		}
		body = bytes.NewReader(b)
	}
	url := strings.TrimSuffix(c.base, "/") + "/admin/v1/" + path
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, errors.Wrap(err, "invalid --admin")
	}
	req.Header.Set("Authorization", "Bearer "+string(key))
	if c.author != "" {
		req.Header.Set(desk.HeaderAuthor, c.author)
	}
	return req, nil
}

// isReceipt reports whether the response is the receipt of a refused change.
func isReceipt(status int, body []byte) bool {
	var r catalogue.Receipt
	return status == http.StatusConflict && json.Unmarshal(body, &r) == nil && r.State != ""
}

// replyError converts the error body of a response to an error.
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
		msg += fmt.Sprintf(" (retry in %.1f s)", e.RetryAfter.Seconds())
	}
	return &exitError{code: ExitFailed, cause: errors.New(msg)}
}
