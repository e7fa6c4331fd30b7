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
	// BaseURL has no slash at its end.
	BaseURL string
	// HTTP is optional.
	HTTP *http.Client
}

// Append appends the records in order and returns the offset of the first one.
// Its error is *UnavailableError, with Unknown when the records may be in the log all the same, or *StatusError.
func (l *Log) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	c := &call{
		service: logService,
		client:  l.HTTP,
		method:  http.MethodPost,
		url:     l.path(stream),
		in:      AppendRequest{Records: records},
	}
	var rep AppendReply
	if err := c.decode(ctx, http.StatusOK, &rep); err != nil {
		return 0, err
	}
	return rep.First, nil
}

// Read returns at most limit records from an offset on; with none there it waits up to wait, in milliseconds.
// Its errors are *TrimmedError, *AheadError, *UnavailableError, *ReplyError and *StatusError.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (Batch, error) {
	query := url.Values{
		"from": {strconv.FormatInt(from, 10)},
		"max":  {strconv.Itoa(limit)},
		"wait": {strconv.FormatInt(int64(wait), 10)},
	}
	c := &call{
		service: logService,
		client:  l.HTTP,
		method:  http.MethodGet,
		url:     l.path(stream) + "?" + query.Encode(),
		limit:   batchLimit,
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
		return Batch{}, c.unexpected(rep)
	}
	switch rep.status {
	case http.StatusGone:
		return Batch{}, &TrimmedError{Stream: stream, From: from, Oldest: b.Oldest, End: b.End}
	case http.StatusConflict:
		return Batch{}, &AheadError{Stream: stream, From: from, Oldest: b.Oldest, End: b.End}
	}
	return b, checkBatch(from, b)
}

func (l *Log) path(stream string) string {
	return l.BaseURL + "/streams/" + url.PathEscape(stream) + "/records"
}

// checkBatch returns a *ReplyError unless the entries follow one another from the offset on.
func checkBatch(from int64, b Batch) error {
	for i, e := range b.Entries {
		if want := from + int64(i); e.Offset != want {
			return &ReplyError{Service: logService, Cause: errors.Newf("offset %d where %d is due", e.Offset, want)}
		}
	}
	if n := from + int64(len(b.Entries)); b.End < n {
		return &ReplyError{Service: logService, Cause: errors.Newf("end %d is below offset %d", b.End, n)}
	}
	return nil
}
