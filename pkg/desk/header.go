package desk

import "carawayknot.example/carawayknot/pkg/request"

// The headers between callers and an instance.
const (
	// HeaderProfile names the profile of a chat completion and overrides the model field.
	HeaderProfile = "Carawayknot-Profile"
	// HeaderSession names the session, for session affinity.
	HeaderSession = "Carawayknot-Session"
	// HeaderPin carries the signed session pin, which the caller sends back with its next request.
	HeaderPin = request.PinHeader
	// HeaderRequestKey carries the idempotency key; a request that is not repeatable needs one.
	HeaderRequestKey = "Carawayknot-Request-Key"
	// HeaderRequestID identifies the request; the instance generates an id when it is missing.
	HeaderRequestID = "Carawayknot-Request-Id"
	// HeaderDeadline is the time limit of the request in milliseconds from its arrival.
	HeaderDeadline = "Carawayknot-Deadline"
	// HeaderRepeatable is false for a request that must not run twice.
	HeaderRepeatable = "Carawayknot-Repeatable"
	// HeaderVersion names the model version that handled the request.
	HeaderVersion = "Carawayknot-Version"
	// HeaderUpstream names the upstream that handled the request.
	HeaderUpstream = "Carawayknot-Upstream"
	// HeaderCost is the cost of the request in millionths.
	HeaderCost = "Carawayknot-Cost"
	// HeaderOutcome says whether an upstream executed the request: NotRun, MayHaveRun or Ran.
	HeaderOutcome = "Carawayknot-Outcome"
	// HeaderAuthor names the operator who makes a change.
	HeaderAuthor = "Carawayknot-Author"
)
