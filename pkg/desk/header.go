package desk

import "carawayknot.example/carawayknot/pkg/enquiry"

// The headers between callers and an instance.
const (
	HeaderProfile    = "Carawayknot-Profile"
	HeaderSession    = "Carawayknot-Session"
	HeaderPin        = enquiry.PinHeader
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
