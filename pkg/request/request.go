package request

import (
	"encoding/json"
	"net/http"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is what a caller asked for, checked and complete; it does not change on its way.
type Request struct {
	// ID names the request everywhere: upstream, bill and logs.
	ID string
	// Workspace is the name of the caller's workspace.
	Workspace string
	// Profile is the name of the profile the caller picked.
	Profile string
	// Session is empty when the request belongs to no session.
	Session string
	// Pin is the signed session pin the caller sent along, if any.
	Pin string
	// Key is the caller's idempotency key; it is required when Repeatable is false.
	Key string
	// Repeatable is false for a request that must run at most once.
	Repeatable bool
	// ArrivedAt is the monotonic time at which the request was read.
	ArrivedAt clock.Millis
	// Deadline is the monotonic time after which the caller has no use for an answer.
	Deadline clock.Millis
	// Stream is true when the caller reads the answer as it is generated.
	Stream bool
	// Messages is the conversation of a chat completion.
	Messages []Message
	// MaxTokens bounds the answer; 0 leaves it to the engine.
	MaxTokens int
	// Options are further fields of a chat completion, which the engine gets as they are.
	Options map[string]json.RawMessage
	// Service is the name of a plain service; it is empty for a chat completion.
	Service string
	// Method, Path and Header are those of a plain service call.
	Method string
	Path   string
	Header http.Header
	// Body is the body of a plain service call.
	Body []byte
	// Target is the target of a routed request as it came, path and query.
	Target string
	// Host is the host that a routed request names.
	Host string
	// Credential is the key that a routed request carries; no upstream gets it.
	Credential string
	// Prompt describes the prompt of a routed request to a model; it is nil for other calls.
	Prompt *Prompt
	// After is the id of the last event that the caller has of the stream; it is empty at its beginning.
	After string
}

// Prompt is what the caller of a model says of the prompt.
type Prompt struct {
	// Model is the model that the caller names.
	Model string
	// Tokens is the length of the prompt, and MostTokens bounds the answer.
	Tokens     int
	MostTokens int
	// Parts are the parts of the prompt in order; other requests share all but the last.
	Parts []PromptPart
}

// PromptPart is a part of a prompt that caches know by its id.
type PromptPart struct {
	ID     string
	Tokens int
}

// Call is a request on its way through the filters; each filter fills in the fields it decides.
type Call struct {
	Request   *Request
	Workspace *catalogue.Workspace
	Profile   *catalogue.Profile
	Service   *catalogue.Service
	// Version is the chosen version, or nil for a plain service.
	Version *catalogue.Version
	// Upstream is the chosen upstream.
	Upstream *catalogue.Upstream
	// ViewAt is the monotonic time of the proof of freshness of the snapshot decided on.
	ViewAt clock.Millis
	// Attempts counts the sends to upstreams.
	Attempts int
	// AttemptID names the latest attempt at its upstream; it begins with the id of the request.
	AttemptID string
	// Sent is true once an attempt may have been executed by an upstream; only the sending filter sets it.
	Sent bool
	// Excluded names upstreams that failed this call.
	Excluded []string
	// Pin is the signed session pin to hand to the caller; it is empty when there is none.
	Pin string
	// Shown is true once the caller has seen a part of the answer; the writer at the caller's connection sets it.
	Shown bool
	// Usage adds up what upstreams did for this call, over all cascade steps.
	Usage []Usage
	// BeforeSend, when set, is asked as the last thing before the first byte of each attempt; its error stops the send.
	BeforeSend func(now clock.Millis) *Refusal
	// Writer takes the answer.
	Writer Writer
	// Route is the route of a routed request, and Model the model chosen for it.
	Route *catalogue.Route
	Model string
	// Release is the release of the service's software that the call keeps to; it is empty while none was chosen.
	Release string
	// Pool is the service that was chosen for a routed request.
	Pool *catalogue.Pool
	// Priority is the rank of a routed request, 0 is the highest.
	Priority int
	// After is the id of the last event that was passed on.
	After string
	// TableVersion is the version of the configuration that the route is of.
	TableVersion int64
	// Runs counts the attempts that an upstream may have executed.
	Runs int
	// Begun, when set, is called when the answer begins.
	Begun func()
	// Headed is true once the caller has the head of the answer.
	Headed bool
	// FirstByteLimit bounds the time to the beginning of the answer where the call may be repeated, in milliseconds; 0 is no bound.
	FirstByteLimit clock.Millis
}

// SentID returns the id under which the upstream knows the latest attempt.
func (c *Call) SentID() string {
	if c.AttemptID == "" {
		return c.Request.ID
	}
	return c.AttemptID
}

// MaySend returns the refusal for which the call may not be sent at now, or nil.
func (c *Call) MaySend(now clock.Millis) *Refusal {
	if c.BeforeSend == nil {
		return nil
	}
	return c.BeforeSend(now)
}

// Usage is the work of one upstream for one attempt.
type Usage struct {
	Version      catalogue.VersionID
	Upstream     string
	InputTokens  int
	OutputTokens int
	Cost         catalogue.Micros
}

// Cost returns the summed cost of the call.
func (c *Call) Cost() catalogue.Micros {
	var sum catalogue.Micros
	for _, u := range c.Usage {
		sum += u.Cost
	}
	return sum
}
