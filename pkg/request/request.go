package request

import (
	"encoding/json"
	"net/http"
	"slices"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
)

// Message is one turn of a conversation, in the JSON form of the chat completion API.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a validated request of a caller; filters must not change it.
type Request struct {
	// ID identifies the request at upstreams, in bills and in logs; callers may choose it, so it need not be unique.
	ID string
	// Workspace is the name of the caller's workspace.
	Workspace string
	// Profile is the name of the profile that the caller selected.
	Profile string
	// Session is empty if the request belongs to no session.
	Session string
	// Pin is the signed session pin that the caller sent; it may be empty.
	Pin string
	// Key is the caller's idempotency key; it is required if Repeatable is false.
	Key string
	// Repeatable is false for a request that must run at most once.
	Repeatable bool
	// ArrivedAt is the monotonic time at which the request was read.
	ArrivedAt clock.Millis
	// Deadline is the monotonic time after which the caller has no use for a response.
	Deadline clock.Millis
	// Stream is true if the caller reads the response while it is generated.
	Stream bool
	// Messages is the conversation of a chat completion.
	Messages []Message
	// MaxTokens bounds the response; 0 means the engine's default.
	MaxTokens int
	// Options are additional fields of a chat completion, which are forwarded to the engine unchanged.
	Options map[string]json.RawMessage
	// Service is the name of a plain service; it is empty for a chat completion.
	Service string
	// Method, Path and Header are those of a plain service call or a routed request.
	Method string
	Path   string
	Header http.Header
	// Body is the body of a plain service call or a routed request.
	Body []byte
	// Target is the unmodified request target of a routed request: path and query.
	Target string
	// Host is the Host header of a routed request.
	Host string
	// Credential is the API key of a routed request; it is never forwarded to upstreams.
	Credential string
	// Prompt describes the prompt of a routed request to a model; it is nil for other requests.
	Prompt *Prompt
	// LastEventID is the ID of the last stream event that the caller received; it is empty if the stream starts at its beginning.
	LastEventID string
	// HandedOver is true if another instance sent the request on, because it reaches no upstream.
	HandedOver bool
	// MinTableVersion is the configuration by which that instance accepted it; an older one must not decide on it.
	MinTableVersion int64
}

// Prompt is the description of a prompt that the caller sends with a request to a model.
type Prompt struct {
	// Model is the name of the requested model.
	Model string
	// Tokens is the length of the prompt; MaxTokens bounds the response.
	Tokens    int
	MaxTokens int
	// Parts are the parts of the prompt in order; all but the last are shared with other requests.
	Parts []PromptPart
}

// PromptPart is a part of a prompt, which prefix caches identify by its ID.
type PromptPart struct {
	ID     string
	Tokens int
}

// Fallback says whether a call may go back to a smaller model when no upstream takes the current one.
type Fallback int

const (
	// NoFallback means that no answer to the call was dropped.
	NoFallback Fallback = iota
	// FallbackLeft means that an answer was dropped and can be had again.
	FallbackLeft
	// FallbackTaken means that the call went back to the smallest model; it isn't refused for want of a free upstream.
	FallbackTaken
)

// Call is the state of a request while it passes through the filters, each of which sets the fields that it decides.
type Call struct {
	Request   *Request
	Workspace *catalogue.Workspace
	Profile   *catalogue.Profile
	Service   *catalogue.Service
	// Version is the selected version, or nil for a plain service.
	Version *catalogue.Version
	// Upstream is the selected upstream.
	Upstream *catalogue.Upstream
	// SnapshotAt is the monotonic time at which the snapshot behind the routing decision was last known to be current.
	SnapshotAt clock.Millis
	// Attempts counts the attempts at upstreams, including those that sent no byte.
	Attempts int
	// AttemptID identifies the latest attempt at its upstream; it starts with the request ID.
	AttemptID string
	// Sent is true once an upstream may have executed an attempt; only the sending filter sets it.
	Sent bool
	// Excluded has the names of upstreams that failed this call.
	Excluded []string
	// Pin is the signed session pin to return to the caller; it may be empty.
	Pin string
	// BodyStarted is true once a part of the response was written to the caller; writers that buffer a response do not set it.
	BodyStarted bool
	// Usage lists the work of upstreams for this call, over all attempts and cascade steps.
	Usage []Usage
	// BeforeSend, if set, is called right before the first byte of each attempt; a refusal stops the attempt.
	BeforeSend func(now clock.Millis) *Refusal
	// Writer receives the response.
	Writer Writer
	// Route is the route of a routed request, and Model the model selected for it.
	Route *catalogue.Route
	Model string
	// Release is the service release that the call is bound to; it is empty until one is selected.
	Release string
	// Pool is the pool of upstreams selected for a routed request.
	Pool *catalogue.Pool
	// Priority is the priority of a routed request; 0 is the highest.
	Priority int
	// LastEventID is the ID of the last event that was forwarded to the caller.
	LastEventID string
	// Unframed is true if only the end of its connection ends the last response of an upstream.
	Unframed bool
	// Begun is true once an upstream has begun to run the call.
	Begun bool
	// TableVersion is the version of the routing table that the route comes from.
	TableVersion int64
	// Runs counts the attempts that an upstream may have executed.
	Runs int
	// OnFirstEvent, if set, is called when the first part of a streamed response arrives.
	OnFirstEvent func()
	// Fallback says whether the call may go back to a smaller model.
	Fallback Fallback
	// HeadWritten is true once the response head was written to the caller.
	HeadWritten bool
	// Unresumable is true once a response was begun that is no event stream, so that no other attempt can continue it.
	Unresumable bool
	// TokensAhead is the work that was pending at the upstream when the current attempt was sent, in prompt tokens of the call's model.
	TokensAhead int
	// FirstByteTimeout bounds the time to the first byte of the response to a repeatable call, in milliseconds; 0 means no bound.
	FirstByteTimeout clock.Millis
	// ReserveRetry reserves a retry and reports whether the current attempt may be aborted for it; nil means that it may. It may be
	// called on any goroutine.
	ReserveRetry func() bool
}

// MayAbort returns a function that reports whether the current attempt may be aborted so that another upstream can take over, which then
// has a retry reserved; the function may be called on any goroutine.
func (c *Call) MayAbort() func() bool {
	if c.ReserveRetry == nil {
		return func() bool { return true }
	}
	return c.ReserveRetry
}

// UpstreamRequestID returns the ID that the upstream got for the latest attempt: AttemptID, or else the request ID.
func (c *Call) UpstreamRequestID() string {
	if c.AttemptID == "" {
		return c.Request.ID
	}
	return c.AttemptID
}

// ListedModel returns the model if the configuration lists it for the route or the pool of the call, and "" otherwise: callers may name any, and
// figures are kept by model.
func (c *Call) ListedModel(model string) string {
	if c.Route != nil && slices.Contains(c.Route.Sizes, model) {
		return model
	}
	if c.Pool == nil {
		return ""
	}
	if _, listed := c.Pool.ModelCosts[model]; listed {
		return model
	}
	return ""
}

// CheckBeforeSend calls BeforeSend and returns its refusal, or nil if the call may be sent at now, a monotonic time in
// milliseconds.
func (c *Call) CheckBeforeSend(now clock.Millis) *Refusal {
	if c.BeforeSend == nil {
		return nil
	}
	return c.BeforeSend(now)
}

// Usage is the work of one upstream for one attempt, with its token counts and its cost.
type Usage struct {
	Version      catalogue.VersionID
	Upstream     string
	InputTokens  int
	OutputTokens int
	Cost         catalogue.Micros
}

// Cost returns the total cost of all attempts of the call.
func (c *Call) Cost() catalogue.Micros {
	var sum catalogue.Micros
	for _, u := range c.Usage {
		sum += u.Cost
	}
	return sum
}
