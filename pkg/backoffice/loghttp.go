package backoffice

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
)

const logService = "log"

// Log is the HTTP client of the log service; it is safe for concurrent use.
type Log struct {
	// BaseURL has no trailing slash.
	BaseURL string
	// HTTP is optional; nil uses a client shared by the package.
	HTTP *http.Client
}

// Append appends the records in order and returns the offset of the first one; its errors are *UnavailableError, with
// OutcomeUnknown set if the log may have stored the records, and *StatusError.
func (l *Log) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	c := &call{
		service: logService,
		client:  l.HTTP,
		method:  http.MethodPost,
		url:     l.recordsURL(stream),
		payload: AppendRequest{Records: records},
	}
	var rep AppendReply
	if err := c.doJSON(ctx, http.StatusOK, &rep); err != nil {
		return 0, err
	}
	return rep.First, nil
}

// Read returns up to limit records, starting at offset from, and waits up to wait milliseconds if there are none yet; its errors
// are *TrimmedError, *PastEndError, *UnavailableError, *ReplyError and *StatusError.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (Batch, error) {
	query := url.Values{
		"from": {strconv.FormatInt(from, 10)},
		"max":  {strconv.Itoa(limit)},
		"wait": {strconv.FormatInt(int64(wait), 10)},
	}
	c := &call{
		service:  logService,
		client:   l.HTTP,
		method:   http.MethodGet,
		url:      l.recordsURL(stream) + "?" + query.Encode(),
		maxBytes: maxBatchBytes,
	}
	rep, err := c.do(ctx)
	if err != nil {
		return Batch{}, err
	}
	var b Batch
	switch rep.status {
	case http.StatusOK, http.StatusGone, http.StatusConflict:
		if err := c.unmarshal(rep, &b); err != nil {
			return Batch{}, err
		}
	default:
		return Batch{}, c.unexpectedStatus(rep)
	}
	switch rep.status {
	case http.StatusGone:
		return Batch{}, &TrimmedError{Stream: stream, From: from, Oldest: b.Oldest, End: b.End}
	case http.StatusConflict:
		return Batch{}, &PastEndError{Stream: stream, From: from, Oldest: b.Oldest, End: b.End}
	}
	return b, validateBatch(from, b)
}

func (l *Log) recordsURL(stream string) string {
	return l.BaseURL + "/streams/" + url.PathEscape(stream) + "/records"
}

// validateBatch returns a *ReplyError unless the entries have consecutive offsets that start at from and lie below the end.
func validateBatch(from int64, b Batch) error {
	for i, e := range b.Entries {
		if want := from + int64(i); e.Offset != want {
			return &ReplyError{Service: logService, Cause: errors.Newf("offset %d where %d is due", e.Offset, want)}
		}
	}
	if next := from + int64(len(b.Entries)); b.End < next {
		return &ReplyError{Service: logService, Cause: errors.Newf("end %d is below offset %d", b.End, next)}
	}
	return nil
}
