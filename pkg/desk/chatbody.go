package desk

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/request"
)

const (
	profilePrefix = "profile:"
	maxMessages   = 4096
	maxMaxTokens  = 1 << 20
)

// parseChat reads the body of a chat completion; fields that this system has no use for go to the engine as they are.
func parseChat(body []byte, q *request.Request) error {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return refuseField("body", "want a JSON object: %s", describeJSON(err))
	}
	var model string
	var copies int
	for _, f := range []struct {
		name string
		into any
		want string
	}{
		{"model", &model, "a string as profile:<name>"},
		{"messages", &q.Messages, "a list of objects with role and content as strings"},
		{"stream", &q.Stream, "true or false"},
		{"max_tokens", &q.MaxTokens, "a whole number"},
		{"n", &copies, "1"},
	} {
		raw, has := fields[f.name]
		delete(fields, f.name)
		if !has || bytes.Equal(raw, []byte("null")) {
			continue
		}
		if err := json.Unmarshal(raw, f.into); err != nil {
			return refuseField(f.name, "want %s", f.want)
		}
	}
	delete(fields, "stream_options")
	if len(fields) > 0 {
		q.Options = fields
	}
	if copies > 1 || copies < 0 {
		return refuseField("n", "want 1")
	}
	if err := checkMessages(q); err != nil {
		return err
	}
	return pickProfile(model, q)
}

func checkMessages(q *request.Request) error {
	if len(q.Messages) == 0 || len(q.Messages) > maxMessages {
		return refuseField("messages", "want 1 to %d messages", maxMessages)
	}
	for _, m := range q.Messages {
		if m.Role == "" {
			return refuseField("messages", "want a role in each message")
		}
	}
	if q.MaxTokens < 0 || q.MaxTokens > maxMaxTokens {
		return refuseField("max_tokens", "want a whole number from 0 to %d", maxMaxTokens)
	}
	return nil
}

// pickProfile takes the profile from the header or else from the model field.
func pickProfile(model string, q *request.Request) error {
	if q.Profile != "" {
		return nil
	}
	name, found := strings.CutPrefix(model, profilePrefix)
	if !found || name == "" {
		return refuseField("model", "want profile:<name>, or the profile in the header %s", HeaderProfile)
	}
	if !isToken(name, maxIDLength) {
		return refuseField("model", "want a name of at most %d visible ASCII characters", maxIDLength)
	}
	q.Profile = name
	return nil
}

func describeJSON(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Error()
	}
	return "another type was found"
}
