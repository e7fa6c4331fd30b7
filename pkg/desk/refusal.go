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

// ErrorBody is the JSON body of every error response; RetryAfter is in milliseconds, 0 when retrying can't help.
type ErrorBody struct {
	Outcome    request.Outcome
	Reason     request.Reason
	Field      string
	Detail     string
	RetryAfter clock.Millis
}

// statusCallerGone is the status for a caller that closed its connection, which never receives it.
const statusCallerGone = 499

var statusByReason = map[request.Reason]int{
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
	request.ReasonQuarantined:      http.StatusServiceUnavailable,
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

func httpStatus(r *request.Refusal) int {
	if s, ok := statusByReason[r.Reason]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// retryJitter is the share by which retry delays are extended at random, so that callers don't retry all at once.
const retryJitter = 0.5

// errorBody returns err as a refusal and as a response body; the details of an error that is not a refusal are hidden.
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

// outcomeUnknown is reported for internal errors, which say nothing about whether the request ran.
const outcomeUnknown = request.MayHaveRun

// writeError writes the error as the whole response.
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
	w.WriteHeader(httpStatus(r))
	_, _ = w.Write(b)
}

// refuseField returns a NotRun refusal that names the invalid field.
func refuseField(field, format string, args ...any) *request.Refusal {
	r := request.Refuse(request.ReasonBadRequest, 0, format, args...)
	r.Field = field
	return r
}
