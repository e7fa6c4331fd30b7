package fake

import (
	"context"
	"sync"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

// LogView is the log as one instance sees it, which may be cut off from it in each direction.
type LogView struct {
	Log *Log

	mu    sync.Mutex
	there bool
	back  bool
}

// Cut cuts the way there, so that calls have no effect, and the way back, so that they get no answer.
func (v *LogView) Cut(there, back bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.there, v.back = there, back
}

func (v *LogView) cuts() (bool, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.there, v.back
}

// Append is that of the log, unless it is cut off.
func (v *LogView) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	there, back := v.cuts()
	lost := &backoffice.UnavailableError{Service: logService, Unknown: true, Cause: errCut}
	if there {
		return 0, lost
	}
	first, err := v.Log.Append(ctx, stream, records)
	if back {
		return 0, lost
	}
	return first, err
}

// Read is that of the log, unless it is cut off.
func (v *LogView) Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (backoffice.Batch, error) {
	if there, back := v.cuts(); there || back {
		return backoffice.Batch{}, &backoffice.UnavailableError{Service: logService, Cause: errCut}
	}
	b, err := v.Log.Read(ctx, stream, from, limit, wait)
	if there, back := v.cuts(); there || back {
		return backoffice.Batch{}, &backoffice.UnavailableError{Service: logService, Cause: errCut}
	}
	return b, err
}
