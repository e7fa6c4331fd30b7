package desk

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/request"
)

const (
	profilePrefix  = "profile:"
	maxMessages    = 4096
	maxTokensLimit = 1 << 20
)

// parseChat parses the body of a chat completion; fields that the router doesn't use are passed to the engine unchanged.
func parseChat(body []byte, q *request.Request) error {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return refuseField("body", "want a JSON object: %s", describeJSONError(err))
	}
	var model string
	var choiceCount int
	for _, f := range []struct {
		name     string
		dst      any
		expected string
	}{
		{"model", &model, "a string as profile:<name>"},
		{"messages", &q.Messages, "a list of objects with role and content as strings"},
		{"stream", &q.Stream, "true or false"},
		{"max_tokens", &q.MaxTokens, "a whole number"},
		{"n", &choiceCount, "1"},
	} {
		raw, present := fields[f.name]
		delete(fields, f.name)
		if !present || bytes.Equal(raw, []byte("null")) {
			continue
		}
		if err := json.Unmarshal(raw, f.dst); err != nil {
			return refuseField(f.name, "want %s", f.expected)
		}
	}
	delete(fields, "stream_options")
	if len(fields) > 0 {
		q.Options = fields
	}
	if choiceCount > 1 || choiceCount < 0 {
		return refuseField("n", "want 1")
	}
	if err := checkMessages(q); err != nil {
		return err
	}
	return resolveProfile(model, q)
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
	if q.MaxTokens < 0 || q.MaxTokens > maxTokensLimit {
		return refuseField("max_tokens", "want a whole number from 0 to %d", maxTokensLimit)
	}
	return nil
}

// resolveProfile sets the profile from the model field, unless a header has set it.
func resolveProfile(model string, q *request.Request) error {
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

func describeJSONError(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Error()
	}
	return "another type was found"
}
