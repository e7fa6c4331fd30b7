package desk

import "carawayknot.example/carawayknot/pkg/request"

// The headers between callers and an instance.
const (
	HeaderProfile    = "Carawayknot-Profile"
	HeaderSession    = "Carawayknot-Session"
	HeaderPin        = request.PinHeader
	HeaderRequestKey = "Carawayknot-Request-Key"
	HeaderRequestID  = "Carawayknot-Request-Id"
	HeaderDeadline   = "Carawayknot-Deadline"
	HeaderRepeatable = "Carawayknot-Repeatable"
	HeaderVersion    = "Carawayknot-Version"
	HeaderUpstream   = "Carawayknot-Upstream"
	HeaderCost       = "Carawayknot-Cost"
	HeaderOutcome    = "Carawayknot-Outcome"
	// HeaderAuthor names the operator who makes a change.
	HeaderAuthor = "Carawayknot-Author"
)
