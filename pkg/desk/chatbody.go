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
		return refuseField("body", "must be a JSON object: %s", describeJSONError(err))
	}
	var model string
	var choiceCount int
	for _, f := range []struct {
		name     string
		dst      any
		expected string
	}{
		{"model", &model, "a string of the form profile:<name>"},
		{"messages", &q.Messages, "a list of objects with the strings role and content"},
		{"stream", &q.Stream, "true or false"},
		{"max_tokens", &q.MaxTokens, "an integer"},
		{"n", &choiceCount, "1"},
	} {
		raw, present := fields[f.name]
		delete(fields, f.name)
		if !present || bytes.Equal(raw, []byte("null")) {
			continue
		}
		if err := json.Unmarshal(raw, f.dst); err != nil {
			return refuseField(f.name, "must be %s", f.expected)
		}
	}
	delete(fields, "stream_options")
	if len(fields) > 0 {
		q.Options = fields
	}
	if choiceCount > 1 || choiceCount < 0 {
		return refuseField("n", "must be 1")
	}
	if err := checkMessages(q); err != nil {
		return err
	}
	return resolveProfile(model, q)
}

func checkMessages(q *request.Request) error {
	if len(q.Messages) == 0 || len(q.Messages) > maxMessages {
		return refuseField("messages", "must have 1 to %d messages", maxMessages)
	}
	for _, m := range q.Messages {
		if m.Role == "" {
			return refuseField("messages", "each message must have a role")
		}
	}
	if q.MaxTokens < 0 || q.MaxTokens > maxTokensLimit {
		return refuseField("max_tokens", "must be an integer from 0 to %d", maxTokensLimit)
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
		return refuseField("model", "must be profile:<name>, unless the header %s names the profile", HeaderProfile)
	}
	if !isToken(name, maxIDLength) {
		return refuseField("model", "the name must be at most %d visible ASCII characters", maxIDLength)
	}
	q.Profile = name
	return nil
}

func describeJSONError(err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Error()
	}
	return "it has another JSON type"
}
