package desk

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/enquiry"
)

// ErrorBody is the body of every answer that is an error; RetryAfter is in milliseconds.
type ErrorBody struct {
	Outcome    enquiry.Outcome
	Reason     enquiry.Reason
	Field      string
	Detail     string
	RetryAfter clock.Millis
}

// statusCallerGone is logged for a caller that closed its connection; nobody reads it.
const statusCallerGone = 499

// statuses has the HTTP status of each reason.
var statuses = map[enquiry.Reason]int{
	enquiry.ReasonBadRequest:       http.StatusBadRequest,
	enquiry.ReasonUnauthorized:     http.StatusUnauthorized,
	enquiry.ReasonForbidden:        http.StatusForbidden,
	enquiry.ReasonNotFound:         http.StatusNotFound,
	enquiry.ReasonTooLarge:         http.StatusRequestEntityTooLarge,
	enquiry.ReasonKeyReused:        http.StatusUnprocessableEntity,
	enquiry.ReasonKeyTooOld:        http.StatusGone,
	enquiry.ReasonKeyInUse:         http.StatusConflict,
	enquiry.ReasonAlreadyRan:       http.StatusConflict,
	enquiry.ReasonClaimExpired:     http.StatusServiceUnavailable,
	enquiry.ReasonWorkspaceLimit:   http.StatusTooManyRequests,
	enquiry.ReasonOverloaded:       http.StatusServiceUnavailable,
	enquiry.ReasonMemory:           http.StatusServiceUnavailable,
	enquiry.ReasonDeadline:         http.StatusGatewayTimeout,
	enquiry.ReasonNoVersion:        http.StatusServiceUnavailable,
	enquiry.ReasonNoUpstream:       http.StatusServiceUnavailable,
	enquiry.ReasonStaleView:        http.StatusServiceUnavailable,
	enquiry.ReasonLogUnavailable:   http.StatusServiceUnavailable,
	enquiry.ReasonDraining:         http.StatusServiceUnavailable,
	enquiry.ReasonUpstreamRefused:  http.StatusServiceUnavailable,
	enquiry.ReasonUpstreamFailed:   http.StatusBadGateway,
	enquiry.ReasonAnswerIncomplete: http.StatusBadGateway,
	enquiry.ReasonAnswerMismatch:   http.StatusBadGateway,
	enquiry.ReasonCallerGone:       statusCallerGone,
	enquiry.ReasonUnsure:           http.StatusBadGateway,
}

// status returns the HTTP status of a refusal.
func status(r *enquiry.Refusal) int {
	if s, known := statuses[r.Reason]; known {
		return s
	}
	return http.StatusInternalServerError
}

// retryJitter spreads the callers that are told to come back, as a share of the time they are told.
const retryJitter = 0.5

// errorBody returns what the caller is told of err; an error that is no refusal tells nothing of its outcome.
func errorBody(err error) (*enquiry.Refusal, ErrorBody) {
	var r *enquiry.Refusal
	if !errors.As(err, &r) {
		r = enquiry.Refuse(enquiry.ReasonUpstreamFailed, 0, "internal error")
		return r, ErrorBody{Outcome: outcomeUnknown, Reason: r.Reason, Detail: r.Detail}
	}
	wait := r.RetryAfter
	if wait > 0 {
		wait += clock.Millis(float64(wait) * retryJitter * rand.Float64())
	}
	return r, ErrorBody{Outcome: r.Outcome, Reason: r.Reason, Field: r.Field, Detail: r.Detail, RetryAfter: wait}
}

// outcomeUnknown is told for errors that are a fault of this system itself, where nothing else can be claimed.
const outcomeUnknown = enquiry.MayHaveRun

// writeError writes the error as the whole answer.
func writeError(w http.ResponseWriter, err error) {
	r, body := errorBody(err)
	b, _ := json.Marshal(body)
	b = append(b, '\n')
	h := w.Header()
	h.Set("Content-Length", strconv.Itoa(len(b)))
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(body.Outcome))
	if body.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(int64((body.RetryAfter+clock.Second-1)/clock.Second), 10))
	}
	if r.Reason == enquiry.ReasonUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if r.Reason == enquiry.ReasonDraining {
		h.Set("Connection", "close")
	}
	w.WriteHeader(status(r))
	_, _ = w.Write(b)
}

// refuseField returns a NotRun refusal that names the wrong field.
func refuseField(field, format string, args ...any) *enquiry.Refusal {
	r := enquiry.Refuse(enquiry.ReasonBadRequest, 0, format, args...)
	r.Field = field
	return r
}
