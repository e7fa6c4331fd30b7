package fake

import (
	"context"
	"sync"

	"carawayknot.example/carawayknot/pkg/backoffice"
	"carawayknot.example/carawayknot/pkg/clock"
)

// LogView is the log as one instance reaches it, over a connection that tests can partition in each direction.
type LogView struct {
	Log *Log

	mu            sync.Mutex
	requestsLost  bool
	responsesLost bool
}

// SetPartition partitions the instance from the log: with requestsLost its calls have no effect, with responsesLost they take
// effect and then fail.
func (v *LogView) SetPartition(requestsLost, responsesLost bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.requestsLost, v.responsesLost = requestsLost, responsesLost
}

// partition returns requestsLost and responsesLost.
func (v *LogView) partition() (bool, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.requestsLost, v.responsesLost
}

// Append is Log.Append, but fails with *backoffice.UnavailableError (OutcomeUnknown) during a partition.
func (v *LogView) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	requestsLost, responsesLost := v.partition()
	unknown := &backoffice.UnavailableError{Service: logService, OutcomeUnknown: true, Cause: errPartitioned}
	if requestsLost {
		return 0, unknown
	}
	first, err := v.Log.Append(ctx, stream, records)
	if responsesLost {
		return 0, unknown
	}
	return first, err
}

// Read is Log.Read, but fails with *backoffice.UnavailableError if there is a partition before or after the call.
func (v *LogView) Read(ctx context.Context, stream string, from int64, limit int, wait clock.Millis) (backoffice.Batch, error) {
	if requestsLost, responsesLost := v.partition(); requestsLost || responsesLost {
		return backoffice.Batch{}, &backoffice.UnavailableError{Service: logService, Cause: errPartitioned}
	}
	b, err := v.Log.Read(ctx, stream, from, limit, wait)
	if requestsLost, responsesLost := v.partition(); requestsLost || responsesLost {
		return backoffice.Batch{}, &backoffice.UnavailableError{Service: logService, Cause: errPartitioned}
	}
	return b, err
}
