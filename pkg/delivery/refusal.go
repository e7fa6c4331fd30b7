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
	// retrySoon is the wait that is told after a failure of one upstream, in milliseconds.
	retrySoon = 500
	// retryOverdue is the wait that is told while a call is still seen to its end, in milliseconds.
	retryOverdue = 1 * clock.Second
	// retryLimit bounds the wait that an upstream may ask for.
	retryLimit = 60 * clock.Second
)

// Overdue returns the refusal for a caller whose deadline passes while its call, which must not run twice, is seen to its
// end.
func Overdue() *request.Refusal {
	return &request.Refusal{
		Outcome: request.MayHaveRun, Reason: request.ReasonDeadline, RetryAfter: retryOverdue,
		Detail: "the call is seen to its end; ask again under the same key for its outcome",
	}
}

// deniedError says that the gate stopped the request before its first byte.
type deniedError struct{ cause error }

// Error describes the denial.
func (e *deniedError) Error() string { return "stopped before the first byte: " + e.cause.Error() }

// Unwrap returns what the gate said.
func (e *deniedError) Unwrap() error { return e.cause }

// statusError is an answer of an upstream that is no result.
type statusError struct {
	Status     int
	RetryAfter clock.Millis
	// proved is true when the answer proves that the request did not run.
	proved bool
}

// Error tells the status.
func (e *statusError) Error() string { return fmt.Sprintf("the upstream answered %d", e.Status) }

// mismatchError says that an answer belongs to another request or version, or is out of order.
type mismatchError struct {
	Field string
	Want  string
	Got   string
}

// Error tells what differs.
func (e *mismatchError) Error() string {
	return fmt.Sprintf("the answer has %s %q in place of %q", e.Field, e.Got, e.Want)
}

// cutError says that an answer ended before it was complete.
type cutError struct{ cause error }

// Error tells where the answer ended.
func (e *cutError) Error() string { return "the answer is not whole: " + e.cause.Error() }

// Unwrap returns the cause of the cut.
func (e *cutError) Unwrap() error { return e.cause }

// writeError says that the caller could not be written to.
type writeError struct{ cause error }

// Error tells the cause.
func (e *writeError) Error() string { return "the caller has gone: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *writeError) Unwrap() error { return e.cause }

// outcome tells what is known of the running of the request after err.
func (a *attempt) outcome(err error) request.Outcome {
	if !a.wrote {
		return request.NotRun
	}
	var status *statusError
	if errors.As(err, &status) && status.proved && a.offset == 0 {
		return request.NotRun
	}
	if a.end != nil {
		return request.Ran
	}
	return request.MayHaveRun
}

// refusal turns what went wrong into the error of the caller.
func (a *attempt) refusal(err error) *request.Refusal {
	r := &request.Refusal{Outcome: a.outcome(err), Detail: "upstream " + a.call.Upstream.Name, Cause: err}
	r.Reason, r.RetryAfter = a.reason(err)
	var told *request.Refusal
	if errors.As(err, &told) {
		r.Field, r.Detail, r.Cause = told.Field, told.Detail, told.Cause
	}
	return r
}

func (a *attempt) reason(err error) (request.Reason, clock.Millis) {
	var told *request.Refusal
	if errors.As(err, &told) {
		return told.Reason, told.RetryAfter
	}
	var (
		status    *statusError
		mismatch  *mismatchError
		cut       *cutError
		write     *writeError
		stale     *catalogue.StaleError
		forbidden *catalogue.ForbiddenError
	)
	switch {
	case errors.As(err, &stale):
		return request.ReasonStaleView, clock.Second
	case errors.As(err, &forbidden):
		return request.ReasonNoUpstream, retrySoon
	case errors.Is(err, errDeadline):
		return request.ReasonDeadline, 0
	case errors.Is(err, errSlowReader):
		return request.ReasonMemory, retrySoon
	case errors.As(err, &write), errors.Is(err, errReaderGone), errors.Is(err, context.Canceled):
		return request.ReasonCallerGone, 0
	case errors.As(err, &cut):
		return request.ReasonAnswerIncomplete, retrySoon
	case errors.As(err, &mismatch):
		return request.ReasonAnswerMismatch, retrySoon
	case errors.As(err, &status):
		if status.Status == http.StatusTooManyRequests || status.Status == http.StatusServiceUnavailable || status.proved {
			return request.ReasonUpstreamRefused, max(status.RetryAfter, retrySoon)
		}
		return request.ReasonUpstreamFailed, retrySoon
	}
	return request.ReasonUpstreamFailed, retrySoon
}

// result classifies the attempt for its sample; an upstream is not to blame for what never left or for the caller.
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

// retryAfter reads the header of that name, in seconds, as milliseconds; 0 when there is none.
func retryAfter(h http.Header) clock.Millis {
	n, err := strconv.ParseInt(h.Get("Retry-After"), 10, 32)
	if err != nil || n < 0 {
		return 0
	}
	return min(clock.Millis(n)*clock.Second, retryLimit)
}
