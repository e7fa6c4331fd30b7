package ledger

import (
	"context"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// readLimit bounds the entries of one read.
	readLimit = 1000
	// readGrace is what a read may take beyond the wait it asked for.
	readGrace = 5 * clock.Second
)

// Reader is the log service as a Tail needs it.
type Reader interface {
	Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (backoffice.Batch, error)
}

// Tail follows one stream of the log.
type Tail struct {
	Common settings.Common
	Log    Reader
	Stream string
	// From is the next offset to read.
	From int64
	// atEnd is true when the last batch went up to the end, so that the next read may wait for records.
	atEnd bool
}

// Run calls take with each batch, also with empty ones, and with the monotonic time from before the read was sent.
// A batch that goes up to its End proves that the stream was read to its end as of that time. An Oldest above the
// expected offset shows that records were trimmed unread, and an End below it that the log lost its tail. Outages are
// waited out with back-off; Run ends with ctx.
func (t *Tail) Run(ctx context.Context, take func(sentAt clock.Millis, b backoffice.Batch)) error {
	log := t.Common.Log.WithName("ledger")
	pause := newBackOff()
	for ctx.Err() == nil {
		sentAt := t.Common.Clock.Now()
		b, err := t.read(ctx)
		if err == nil {
			pause.Reset()
			if n := len(b.Entries); n > 0 {
				t.From = b.Entries[n-1].Offset + 1
			}
			t.atEnd = t.From >= b.End
			take(sentAt, b)
			continue
		}
		if b, moved := t.move(err); moved {
			log.Info("stream does not go on where it was read", "stream", t.Stream, "from", t.From, "err", err.Error())
			take(sentAt, b)
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		wait := clock.FromDuration(pause.NextBackOff())
		log.Info("read failed", "stream", t.Stream, "from", t.From, "retryAfter", wait, "err", err.Error())
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
	ctx, cancel := clock.WithTimeout(ctx, t.Common.Clock, wait+readGrace)
	defer cancel()
	return t.Log.Read(ctx, t.Stream, t.From, readLimit, wait)
}

// move goes to an offset that the log has when err says that it doesn't have the next one.
func (t *Tail) move(err error) (backoffice.Batch, bool) {
	var (
		trimmed *backoffice.TrimmedError
		ahead   *backoffice.AheadError
	)
	switch {
	case errors.As(err, &trimmed) && trimmed.Oldest > t.From:
		t.From = trimmed.Oldest
		return backoffice.Batch{Oldest: trimmed.Oldest, End: max(trimmed.End, trimmed.Oldest)}, true
	case errors.As(err, &ahead) && ahead.End < t.From:
		t.From = ahead.End
		return backoffice.Batch{Oldest: ahead.Oldest, End: ahead.End}, true
	}
	return backoffice.Batch{}, false
}
