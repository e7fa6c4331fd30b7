package desk

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// ErrorBody is the body of every answer that is an error; RetryAfter is in milliseconds.
type ErrorBody struct {
	Outcome    request.Outcome
	Reason     request.Reason
	Field      string
	Detail     string
	RetryAfter clock.Millis
}

// statusCallerGone is logged for a caller that closed its connection; nobody reads it.
const statusCallerGone = 499

// statuses has the HTTP status of each reason.
var statuses = map[request.Reason]int{
	request.ReasonBadRequest:       http.StatusBadRequest,
	request.ReasonUnauthorized:     http.StatusUnauthorized,
	request.ReasonForbidden:        http.StatusForbidden,
	request.ReasonNotFound:         http.StatusNotFound,
	request.ReasonTooLarge:         http.StatusRequestEntityTooLarge,
	request.ReasonKeyReused:        http.StatusUnprocessableEntity,
	request.ReasonKeyTooOld:        http.StatusGone,
	request.ReasonKeyInUse:         http.StatusConflict,
	request.ReasonAlreadyRan:       http.StatusConflict,
	request.ReasonClaimExpired:     http.StatusServiceUnavailable,
	request.ReasonWorkspaceLimit:   http.StatusTooManyRequests,
	request.ReasonOverloaded:       http.StatusServiceUnavailable,
	request.ReasonMemory:           http.StatusServiceUnavailable,
	request.ReasonDeadline:         http.StatusGatewayTimeout,
	request.ReasonNoVersion:        http.StatusServiceUnavailable,
	request.ReasonNoUpstream:       http.StatusServiceUnavailable,
	request.ReasonStaleView:        http.StatusServiceUnavailable,
	request.ReasonLogUnavailable:   http.StatusServiceUnavailable,
	request.ReasonDraining:         http.StatusServiceUnavailable,
	request.ReasonUpstreamRefused:  http.StatusServiceUnavailable,
	request.ReasonUpstreamFailed:   http.StatusBadGateway,
	request.ReasonAnswerIncomplete: http.StatusBadGateway,
	request.ReasonAnswerMismatch:   http.StatusBadGateway,
	request.ReasonCallerGone:       statusCallerGone,
	request.ReasonUnsure:           http.StatusBadGateway,
}

// status returns the HTTP status of a refusal.
func status(r *request.Refusal) int {
	if s, known := statuses[r.Reason]; known {
		return s
	}
	return http.StatusInternalServerError
}

// retryJitter spreads the callers that are told to come back, as a share of the time they are told.
const retryJitter = 0.5

// errorBody returns what the caller is told of err; an error that is no refusal tells nothing of its outcome.
func errorBody(err error) (*request.Refusal, ErrorBody) {
	var r *request.Refusal
	if !errors.As(err, &r) {
		r = request.Refuse(request.ReasonUpstreamFailed, 0, "internal error")
		return r, ErrorBody{Outcome: outcomeUnknown, Reason: r.Reason, Detail: r.Detail}
	}
	wait := r.RetryAfter
	if wait > 0 {
		wait += clock.Millis(float64(wait) * retryJitter * rand.Float64())
	}
	return r, ErrorBody{Outcome: r.Outcome, Reason: r.Reason, Field: r.Field, Detail: r.Detail, RetryAfter: wait}
}

// outcomeUnknown is told for errors that are a fault of this system itself, where nothing else can be claimed.
const outcomeUnknown = request.MayHaveRun

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
	if r.Reason == request.ReasonUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if r.Reason == request.ReasonDraining {
		h.Set("Connection", "close")
	}
	w.WriteHeader(status(r))
	_, _ = w.Write(b)
}

// refuseField returns a NotRun refusal that names the wrong field.
func refuseField(field, format string, args ...any) *request.Refusal {
	r := request.Refuse(request.ReasonBadRequest, 0, format, args...)
	r.Field = field
	return r
}
