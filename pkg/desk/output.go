package desk

import (
	"net/http"
	"strconv"
	"time"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// writeGrace is added to the deadline of a request for the writing of its last bytes, in milliseconds.
const writeGrace = 1 * clock.Second

// output is the connection to the caller.
type output struct {
	w     http.ResponseWriter
	rc    *http.ResponseController
	clock clock.Clock
	// started is true once the head is on its way.
	started bool
}

// start writes the head; from here on the caller has seen a part of the answer.
func (o *output) start(c *request.Call, status int) {
	o.started = true
	c.Shown = true
	if c.Request.Deadline > 0 {
		left := c.Request.Deadline - o.clock.Now() + writeGrace
		_ = o.rc.SetWriteDeadline(time.Now().Add(left.Duration()))
	}
	o.describe(c)
	o.w.WriteHeader(status)
}

// describe sets the headers that tell how the call was served.
func (o *output) describe(c *request.Call) {
	h := o.w.Header()
	h.Set(HeaderRequestID, c.Request.ID)
	if c.Version != nil {
		h.Set(HeaderVersion, string(c.Version.ID))
	}
	if c.Upstream != nil {
		h.Set(HeaderUpstream, c.Upstream.Name)
	}
	if c.Pin != "" {
		h.Set(HeaderPin, c.Pin)
	}
}

// setResult sets the headers, or the trailers, that are known only at the end.
func (o *output) setResult(c *request.Call, outcome request.Outcome) {
	h := o.w.Header()
	h.Set(HeaderCost, strconv.FormatInt(int64(c.Cost()), 10))
	h.Set(HeaderOutcome, string(outcome))
}

func (o *output) hasStarted() bool { return o.started }

// failNow writes the error as the whole answer and closes the connection after the handler, so that the caller neither
// waits for the handler nor sends another request behind it.
func (o *output) failNow(c *request.Call, err error) {
	o.started = true
	o.describe(c)
	o.w.Header().Set("Connection", "close")
	writeError(o.w, err)
	_ = o.rc.Flush()
}
