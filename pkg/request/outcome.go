package request

import (
	"fmt"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Outcome tells whether a request was executed by an upstream.
type Outcome string

const (
	// NotRun means that no byte of the request reached an upstream, or that the upstream refused it by contract.
	NotRun Outcome = "NotRun"
	// MayHaveRun means that an upstream may have executed the request.
	MayHaveRun Outcome = "MayHaveRun"
	// Ran means that an upstream executed the request.
	Ran Outcome = "Ran"
)

// Reason is the documented cause of a refusal.
type Reason string

// The reasons of refusals, as callers see them.
const (
	ReasonBadRequest       Reason = "BadRequest"
	ReasonUnauthorized     Reason = "Unauthorized"
	ReasonForbidden        Reason = "Forbidden"
	ReasonNotFound         Reason = "NotFound"
	ReasonTooLarge         Reason = "TooLarge"
	ReasonKeyReused        Reason = "KeyReused"
	ReasonKeyTooOld        Reason = "KeyTooOld"
	ReasonKeyInUse         Reason = "KeyInUse"
	ReasonAlreadyRan       Reason = "AlreadyRan"
	ReasonClaimExpired     Reason = "ClaimExpired"
	ReasonWorkspaceLimit   Reason = "WorkspaceLimit"
	ReasonOverloaded       Reason = "Overloaded"
	ReasonMemory           Reason = "Memory"
	ReasonDeadline         Reason = "Deadline"
	ReasonNoVersion        Reason = "NoVersion"
	ReasonNoUpstream       Reason = "NoUpstream"
	ReasonStaleView        Reason = "StaleView"
	ReasonLogUnavailable   Reason = "LogUnavailable"
	ReasonDraining         Reason = "Draining"
	ReasonUpstreamRefused  Reason = "UpstreamRefused"
	ReasonUpstreamFailed   Reason = "UpstreamFailed"
	ReasonAnswerIncomplete Reason = "AnswerIncomplete"
	ReasonAnswerMismatch   Reason = "AnswerMismatch"
	ReasonCallerGone       Reason = "CallerGone"
	ReasonUnsure           Reason = "Unsure"
)

// Refusal is the error a caller gets in place of an answer; RetryAfter is in milliseconds, 0 when asking again can't help.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	Field      string
	Detail     string
	RetryAfter clock.Millis
	Cause      error
}

// Error describes the refusal in one line.
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

// Unwrap returns the cause of the refusal.
func (r *Refusal) Unwrap() error { return r.Cause }

// Refuse returns a NotRun refusal; retryAfter is in milliseconds.
func Refuse(reason Reason, retryAfter clock.Millis, format string, args ...any) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, RetryAfter: retryAfter, Detail: fmt.Sprintf(format, args...)}
}
