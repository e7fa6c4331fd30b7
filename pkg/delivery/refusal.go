package delivery

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// retryAfterFailureMillis is the retry delay that callers are given after an upstream failed.
	retryAfterFailureMillis = 500
	// retryAfterPending is the retry delay that callers are given while their call still runs.
	retryAfterPending = 1 * clock.Second
	// maxRetryAfter bounds the Retry-After value of an upstream.
	maxRetryAfter = 60 * clock.Second
)

// PendingRefusal returns the refusal for a caller whose deadline passes while its non-repeatable call runs to completion.
func PendingRefusal() *request.Refusal {
	return &request.Refusal{
		Outcome: request.MayHaveRun, Reason: request.ReasonDeadline, RetryAfter: retryAfterPending,
		Detail: "the call is seen to its end; ask again under the same key for its outcome",
	}
}

// deniedError reports that the request was stopped before its first byte.
type deniedError struct{ cause error }

func (e *deniedError) Error() string {
	return "request stopped before its first byte: " + e.cause.Error()
}

func (e *deniedError) Unwrap() error { return e.cause }

// statusError is a response whose status means that the upstream did not serve the request.
type statusError struct {
	Status     int
	RetryAfter clock.Millis
	// notRunProven is true if the response proves that the request did not run.
	notRunProven bool
}

func (e *statusError) Error() string { return fmt.Sprintf("upstream returned status %d", e.Status) }

// mismatchError reports a response that belongs to another request or version, or whose events are out of order.
type mismatchError struct {
	Field string
	Want  string
	Got   string
}

func (e *mismatchError) Error() string {
	return fmt.Sprintf("response has %s %q, want %q", e.Field, e.Got, e.Want)
}

// incompleteError reports that a response ended before it was complete.
type incompleteError struct{ cause error }

func (e *incompleteError) Error() string { return "incomplete response: " + e.cause.Error() }

func (e *incompleteError) Unwrap() error { return e.cause }

// writeError reports that writing the response to the caller failed.
type writeError struct{ cause error }

func (e *writeError) Error() string { return "write to the caller: " + e.cause.Error() }

func (e *writeError) Unwrap() error { return e.cause }

// outcome returns whether the upstream may have executed the request, given the error of the attempt.
func (a *attempt) outcome(err error) request.Outcome {
	if !a.wrote {
		return request.NotRun
	}
	var status *statusError
	if errors.As(err, &status) && status.notRunProven && a.offset == 0 {
		return request.NotRun
	}
	if a.end != nil {
		return request.Ran
	}
	return request.MayHaveRun
}

// refusal converts the error of the attempt into the caller's error.
func (a *attempt) refusal(err error) *request.Refusal {
	r := &request.Refusal{Outcome: a.outcome(err), Detail: "upstream " + a.call.Upstream.Name, Cause: err}
	r.Reason, r.RetryAfter = a.reason(err)
	var refusal *request.Refusal
	if errors.As(err, &refusal) {
		r.Field, r.Detail, r.Cause = refusal.Field, refusal.Detail, refusal.Cause
	}
	return r
}

func (a *attempt) reason(err error) (request.Reason, clock.Millis) {
	var refusal *request.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason, refusal.RetryAfter
	}
	var (
		status     *statusError
		mismatch   *mismatchError
		incomplete *incompleteError
		write      *writeError
		stale      *catalogue.StaleError
		forbidden  *catalogue.ForbiddenError
	)
	switch {
	case errors.As(err, &stale):
		return request.ReasonStaleView, clock.Second
	case errors.As(err, &forbidden):
		return request.ReasonNoUpstream, retryAfterFailureMillis
	case errors.Is(err, errDeadline):
		return request.ReasonDeadline, 0
	case errors.Is(err, errSlowReader):
		return request.ReasonMemory, retryAfterFailureMillis
	case errors.As(err, &write), errors.Is(err, errReaderGone), errors.Is(err, context.Canceled):
		return request.ReasonCallerGone, 0
	case errors.As(err, &incomplete):
		return request.ReasonAnswerIncomplete, retryAfterFailureMillis
	case errors.As(err, &mismatch):
		return request.ReasonAnswerMismatch, retryAfterFailureMillis
	case errors.As(err, &status):
		if status.Status == http.StatusTooManyRequests || status.Status == http.StatusServiceUnavailable || status.notRunProven {
			return request.ReasonUpstreamRefused, max(status.RetryAfter, retryAfterFailureMillis)
		}
		return request.ReasonUpstreamFailed, retryAfterFailureMillis
	}
	return request.ReasonUpstreamFailed, retryAfterFailureMillis
}

// result classifies the attempt for its sample; a request that the gate stopped, or a caller that left, does not count
// against the upstream.
func (a *attempt) result(err error) request.Result {
	if err == nil {
		return request.ResultComplete
	}
	var denied *deniedError
	if errors.As(err, &denied) {
		return request.ResultCancelled
	}
	reason, _ := a.reason(err)
	switch reason {
	case request.ReasonUpstreamRefused:
		return request.ResultRefused
	case request.ReasonAnswerIncomplete:
		return request.ResultCut
	case request.ReasonAnswerMismatch:
		return request.ResultMismatch
	case request.ReasonCallerGone, request.ReasonMemory:
		return request.ResultCancelled
	case request.ReasonDeadline:
		if !a.wrote {
			return request.ResultCancelled
		}
	}
	return request.ResultFailed
}

// retryAfter returns the Retry-After header, given in seconds, as milliseconds, at most maxRetryAfter; 0 if it is missing or
// invalid.
func retryAfter(h http.Header) clock.Millis {
	n, err := strconv.ParseInt(h.Get("Retry-After"), 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return min(clock.Millis(n)*clock.Second, maxRetryAfter)
}
