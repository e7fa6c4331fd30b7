package request

import (
	"fmt"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Outcome states whether an upstream executed a request; callers need it to decide whether a retry is safe.
type Outcome string

const (
	// NotRun means that no byte of the request reached an upstream, or that the upstream refused it by contract.
	NotRun Outcome = "NotRun"
	// MayHaveRun means that an upstream may have executed the request.
	MayHaveRun Outcome = "MayHaveRun"
	// Ran means that an upstream executed the request.
	Ran Outcome = "Ran"
)

// Reason is the cause of a refusal, as documented for callers.
type Reason string

// The reasons of refusals; callers get them under these names.
const (
	ReasonBadRequest   Reason = "BadRequest"
	ReasonUnauthorized Reason = "Unauthorized"
	ReasonForbidden    Reason = "Forbidden"
	ReasonNotFound     Reason = "NotFound"
	ReasonTooLarge     Reason = "TooLarge"
	// ReasonKeyReused means that the idempotency key was used before with a different request.
	ReasonKeyReused Reason = "KeyReused"
	// ReasonKeyTooOld means that the idempotency key is older than the retained records, or dated in the future.
	ReasonKeyTooOld Reason = "KeyTooOld"
	// ReasonKeyInUse means that another request with the same idempotency key may still be running.
	ReasonKeyInUse Reason = "KeyInUse"
	// ReasonAlreadyRan means that the request ran before under its idempotency key and its response cannot be replayed.
	ReasonAlreadyRan Reason = "AlreadyRan"
	// ReasonClaimExpired means that the claim on the idempotency key expired before the request was sent.
	ReasonClaimExpired   Reason = "ClaimExpired"
	ReasonWorkspaceLimit Reason = "WorkspaceLimit"
	// ReasonOverloaded means that the instance or all upstreams are at their concurrency limits.
	ReasonOverloaded Reason = "Overloaded"
	// ReasonMemory means that no memory is left to buffer requests or responses, or that the caller reads too slowly.
	ReasonMemory     Reason = "Memory"
	ReasonDeadline   Reason = "Deadline"
	ReasonNoVersion  Reason = "NoVersion"
	ReasonNoUpstream Reason = "NoUpstream"
	// ReasonQuarantined means that upstreams crashed under the request or a part of its prompt, which is not sent for a while.
	ReasonQuarantined Reason = "Quarantined"
	// ReasonStaleView means that the configuration snapshot of the instance is too old to decide on.
	ReasonStaleView Reason = "StaleView"
	// ReasonLogUnavailable means that the shared log cannot be written or read now.
	ReasonLogUnavailable Reason = "LogUnavailable"
	ReasonDraining       Reason = "Draining"
	// ReasonUpstreamRefused means that the upstream declined the request, which it may accept later.
	ReasonUpstreamRefused  Reason = "UpstreamRefused"
	ReasonUpstreamFailed   Reason = "UpstreamFailed"
	ReasonAnswerIncomplete Reason = "AnswerIncomplete"
	// ReasonAnswerMismatch means that the response belongs to another request or version, or is malformed.
	ReasonAnswerMismatch Reason = "AnswerMismatch"
	ReasonCallerGone     Reason = "CallerGone"
	// ReasonUnsure means that the response was discarded because the model reported too little confidence in it.
	ReasonUnsure Reason = "Unsure"
)

// Refusal is the error that a caller gets instead of a response; RetryAfter is in milliseconds, 0 if a retry cannot help.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	Field      string
	Detail     string
	RetryAfter clock.Millis
	Cause      error
	// UpstreamDown is true if the upstream ended before it began to answer.
	UpstreamDown bool
	// Full is true if the upstream had no room for the request, and GivenUp if the attempt was ended here while the upstream was at work.
	Full, GivenUp bool
	// Unreached is true if no connection to the upstream could be made.
	Unreached bool
	// WrongUpstream is true if another upstream answered at the address.
	WrongUpstream bool
}

// Error returns reason, outcome, field, detail and cause in one line.
func (r *Refusal) Error() string {
	s := fmt.Sprintf("%s (%s)", r.Reason, r.Outcome)
	if r.Field != "" {
		s += " " + r.Field
	}
	if r.Detail != "" {
		s += ": " + r.Detail
	}
	if r.Cause != nil {
		s += ": " + r.Cause.Error()
	}
	return s
}

// Unwrap returns the cause, which may be nil.
func (r *Refusal) Unwrap() error { return r.Cause }

// Refuse returns a refusal with outcome NotRun; retryAfter is in milliseconds, 0 if a retry cannot help.
func Refuse(reason Reason, retryAfter clock.Millis, format string, args ...any) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}
