package ledger

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	maxReadEntries = 1000
	// readTimeoutMargin is added to the long-poll wait of a read to get its timeout.
	readTimeoutMargin = 5 * clock.Second
)

// Reader reads up to limit entries of a log stream, and waits for new ones up to wait milliseconds if it is at the end.
type Reader interface {
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (backoffice.Batch, error)
}

// Tail follows one stream of the log and hands its entries over in batches.
type Tail struct {
	Common settings.Common
	Log    Reader
	Stream string
	// From is the offset of the next entry to read.
	From int64
	// atEnd is set if the last batch reached the end of the stream, so that the next read may wait for new entries.
	atEnd bool
}

// Run calls handle with each batch, empty ones included, and the monotonic time just before the read, until ctx ends.
func (t *Tail) Run(ctx context.Context, handle func(sentAt clock.Millis, b backoffice.Batch)) error {
	log := t.Common.Log.WithName("ledger")
	retryBackOff := newBackOff()
	for ctx.Err() == nil {
		sentAt := t.Common.Clock.Now()
		b, err := t.read(ctx)
		if err == nil {
			retryBackOff.Reset()
			if n := len(b.Entries); n > 0 {
				t.From = b.Entries[n-1].Offset + 1
			}
			t.atEnd = t.From >= b.End
			handle(sentAt, b)
			continue
		}
		if b, moved := t.reposition(err); moved {
			log.Info("read offset is not in the stream, repositioned", "stream", t.Stream, "from", t.From, "error", err.Error())
			handle(sentAt, b)
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		wait := clock.FromDuration(retryBackOff.NextBackOff())
		log.Info("read failed", "stream", t.Stream, "from", t.From, "retryAfter", wait, "error", err.Error())
		if err := clock.Sleep(ctx, t.Common.Clock, wait); err != nil {
			return nil
		}
	}
	return nil
}

func (t *Tail) read(ctx context.Context) (backoffice.Batch, error) {
	var wait clock.Millis
	if t.atEnd {
		wait = t.Common.Settings.Times.LogWait
	}
	ctx, cancel := clock.WithTimeout(ctx, t.Common.Clock, wait+readTimeoutMargin)
	defer cancel()
	return t.Log.Read(ctx, t.Stream, t.From, maxReadEntries, wait)
}

// reposition sets From to an offset that the log has if err says that the log doesn't have the current one, and returns an
// empty batch with the new bounds.
func (t *Tail) reposition(err error) (backoffice.Batch, bool) {
	var (
		trimmed *backoffice.TrimmedError
		pastEnd *backoffice.PastEndError
	)
	switch {
	case errors.As(err, &trimmed) && trimmed.Oldest > t.From:
		t.From = trimmed.Oldest
		return backoffice.Batch{Oldest: trimmed.Oldest, End: max(trimmed.End, trimmed.Oldest)}, true
	case errors.As(err, &pastEnd) && pastEnd.End < t.From:
		t.From = pastEnd.End
		return backoffice.Batch{Oldest: pastEnd.Oldest, End: pastEnd.End}, true
	}
	return backoffice.Batch{}, false
}
