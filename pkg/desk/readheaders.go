package desk

import (
	"net/http"
	"strconv"

	"github.com/google/uuid"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	maxIDLength      = 128
	maxKeyLength     = 256
	maxSessionLength = 256
	maxPinLength     = 4096
	// maxDeadline is the longest time limit that a caller may set.
	maxDeadline = 24 * 60 * 60 * clock.Second
)

// readHeaders sets the fields of q from the headers, and generates an id if there is none.
func readHeaders(h http.Header, q *request.Request) error {
	for _, f := range []struct {
		name string
		max  int
		dst  *string
	}{
		{HeaderRequestID, maxIDLength, &q.ID},
		{HeaderRequestKey, maxKeyLength, &q.Key},
		{HeaderSession, maxSessionLength, &q.Session},
		{HeaderPin, maxPinLength, &q.Pin},
		{HeaderProfile, maxIDLength, &q.Profile},
	} {
		v := h.Get(f.name)
		if !isToken(v, f.max) {
			return refuseField(f.name, "want at most %d visible ASCII characters without blanks", f.max)
		}
		*f.dst = v
	}
	if q.ID == "" {
		q.ID = uuid.NewString()
	}
	if err := readDeadline(h.Get(HeaderDeadline), q); err != nil {
		return err
	}
	return readRepeatable(h.Get(HeaderRepeatable), q)
}

func isToken(v string, limit int) bool {
	if len(v) > limit {
		return false
	}
	for i := range len(v) {
		if v[i] <= ' ' || v[i] > '~' {
			return false
		}
	}
	return true
}

func readDeadline(v string, q *request.Request) error {
	if v == "" {
		return nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 || clock.Millis(ms) > maxDeadline {
		return refuseField(HeaderDeadline, "want a whole number of milliseconds from 1 to %d", maxDeadline)
	}
	q.Deadline = q.ArrivedAt + clock.Millis(ms)
	return nil
}

func readRepeatable(v string, q *request.Request) error {
	switch v {
	case "", "true":
	case "false":
		q.Repeatable = false
	default:
		return refuseField(HeaderRepeatable, "want true or false")
	}
	return nil
}
