package delivery

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// minPauseLimit is the shortest pause after which a resumable stream is aborted so that it can be resumed at another upstream, in
	// milliseconds; no caller abandons a stream before catalogue.MinPatience.
	minPauseLimit clock.Millis = catalogue.MinPatience - 300
	// pauseLimitShare is the fraction of the callers' patience after which that happens if it is longer. A sound upstream may be silent
	// for a second or two, and the rest of their patience is enough for another one to go on.
	pauseLimitShare = 0.5
	// minGaps is the number of pauses needed to estimate the pace of a stream; at most maxGaps are recorded.
	minGaps, maxGaps = 3, 64
	// paceGaps is the number of pauses after which the pace of a stream is reported before its end.
	paceGaps = 6
	// streamBufferBytes is the initial size of the read buffer of a stream.
	streamBufferBytes = 8 << 10
)

var (
	eventSeparator = []byte("\n\n")
	// crlfEventSeparator also separates events; it is the longest separator.
	crlfEventSeparator = []byte("\r\n\r\n")
	idField            = []byte("id:")
	errPartialEvent    = errors.New("stream ended in the middle of an event")
	errNoEvent         = errors.New("stream without framing ended before its first event")
)

// splitEvents returns the complete events at the start of b, the last event ID among them, and the remaining bytes.
func splitEvents(b []byte) (events []byte, id string, rest []byte) {
	end := bytes.LastIndex(b, eventSeparator)
	if end < 0 {
		return nil, "", b
	}
	events, rest = b[:end+len(eventSeparator)], b[end+len(eventSeparator):]
	for _, line := range bytes.Split(events, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
	return events, id, rest
}

// stream forwards complete events as they arrive; the head is written with the first of them.
func (a *relayAttempt) stream(resp *http.Response, head request.Head, stopFirstByteTimer func()) error {
	pauseTimer := a.newPauseTimer()
	defer pauseTimer.Stop()
	buffer := &responseBuffer{limit: &a.buffers, most: maxBufferedBytes}
	defer buffer.release()
	for {
		full, err := buffer.read(resp.Body)
		if full {
			return errEventTooLong
		}
		events, id, rest := splitEvents(buffer.bytes)
		if len(events) > 0 {
			stopFirstByteTimer()
			pauseTimer.Stop()
			if werr := a.forwardEvents(head, events, id); werr != nil {
				return werr
			}
			buffer.bytes = buffer.bytes[:copy(buffer.bytes, rest)]
			a.resetPauseTimer(pauseTimer)
		}
		if errors.Is(err, io.EOF) {
			return a.finishStream(head, buffer.bytes, isUnframed(resp))
		}
		if err != nil {
			return a.readError(err)
		}
	}
}

func (a *relayAttempt) forwardEvents(head request.Head, events []byte, id string) error {
	c, now := a.call, a.Clock.Now()
	if a.lastEventAt > 0 && len(a.gaps) < maxGaps {
		a.gaps = append(a.gaps, now-a.lastEventAt)
		if len(a.gaps) == paceGaps {
			a.reportProgress(lowerQuartileGap(slices.Clone(a.gaps)))
		}
	}
	a.lastEventAt = now
	if a.firstByte == 0 {
		a.firstByte = max(1, now-a.startedAt)
		a.reportProgress(0)
		if c.OnFirstEvent != nil {
			c.OnFirstEvent()
		}
	}
	if err := a.forwardHead(head); err != nil {
		return err
	}
	if err := c.Writer.WriteBytes(a.ctx, c, events); err != nil {
		return &writeError{cause: err}
	}
	if id != "" {
		c.LastEventID = id
	}
	c.BodyStarted = true
	return nil
}

// reportProgress reports the attempt before its end, with the pace of its stream unless that is 0.
func (a *relayAttempt) reportProgress(gap clock.Millis) {
	if a.OnProgress != nil {
		a.OnProgress(a.call, request.Sample{At: a.Clock.Now(), Upstream: a.call.Upstream.Name, Result: request.ResultStarted, FirstToken: a.firstByte, Gap: gap})
	}
}

// lowerQuartileGap returns the lower quartile of the pauses, because the engine's work on other prompts makes some of them
// long; it is 0 if there are too few.
func lowerQuartileGap(gaps []clock.Millis) clock.Millis {
	if len(gaps) < minGaps {
		return 0
	}
	slices.Sort(gaps)
	return max(1, gaps[len(gaps)/4])
}

// forwardHead writes the head unless an earlier attempt already wrote one.
func (a *relayAttempt) forwardHead(head request.Head) error {
	c := a.call
	if c.HeadWritten {
		return nil
	}
	head.Length = -1
	if err := c.Writer.WriteHead(a.ctx, c, head); err != nil {
		return &writeError{cause: err}
	}
	c.HeadWritten = true
	return nil
}

func (a *relayAttempt) finishStream(head request.Head, rest []byte, unframed bool) error {
	if len(bytes.TrimSpace(rest)) > 0 {
		return &incompleteError{cause: errPartialEvent}
	}
	if unframed && a.firstByte == 0 && (a.call.LastEventID == "" || a.call.HeadWritten) {
		return &incompleteError{cause: errNoEvent}
	}
	if err := a.forwardHead(head); err != nil {
		return err
	}
	if err := a.call.Writer.WriteEnd(a.ctx, a.call, request.End{}); err != nil {
		return &writeError{cause: err}
	}
	return nil
}

// newPauseTimer returns a stopped timer that aborts the attempt if the stream pauses for too long after an event and may be retried.
func (a *relayAttempt) newPauseTimer() *time.Timer {
	t := time.AfterFunc(time.Hour, func() {
		if a.mayAbort() {
			a.stop(errStreamPaused)
		}
	})
	t.Stop()
	return t
}

func (a *relayAttempt) resetPauseTimer(t *time.Timer) {
	if a.call.Route.MayResume() {
		t.Reset(pauseLimit(a.call.Route).Duration())
	}
}

// pauseLimit returns the pause after which a stream of the route is aborted, in milliseconds.
func pauseLimit(route *catalogue.Route) clock.Millis {
	return max(minPauseLimit, clock.Millis(pauseLimitShare*float64(route.Patience())))
}
