package desk

import (
	"net/http"
	"strconv"
	"time"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

// writeGrace extends the write deadline of a response beyond the deadline of its request.
const writeGrace = 1 * clock.Second

// output is the part of an HTTP response that all response writers share.
type output struct {
	w     http.ResponseWriter
	rc    *http.ResponseController
	clock clock.Clock
	// started is true once headers were sent.
	started bool
}

// start sends status and headers; from then on the call can't be retried unnoticed.
func (o *output) start(c *request.Call, status int) {
	o.started = true
	c.BodyStarted = true
	if c.Request.Deadline > 0 {
		left := c.Request.Deadline - o.clock.Now() + writeGrace
		_ = o.rc.SetWriteDeadline(time.Now().Add(left.Duration()))
	}
	o.setCallHeaders(c)
	o.w.WriteHeader(status)
}

// setCallHeaders sets the headers that say how the call was served.
func (o *output) setCallHeaders(c *request.Call) {
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

// setResultHeaders sets the headers, or trailers, whose values are known only at the end.
func (o *output) setResultHeaders(c *request.Call, outcome request.Outcome) {
	h := o.w.Header()
	h.Set(HeaderCost, strconv.FormatInt(int64(c.Cost()), 10))
	h.Set(HeaderOutcome, string(outcome))
}

func (o *output) hasStarted() bool { return o.started }

// failAndClose writes the error as the whole response and has the connection closed after the handler, so that the caller
// neither waits for the handler nor sends another request on this connection.
func (o *output) failAndClose(c *request.Call, err error) {
	o.started = true
	o.setCallHeaders(c)
	o.w.Header().Set("Connection", "close")
	writeError(o.w, err)
	_ = o.rc.Flush()
}
