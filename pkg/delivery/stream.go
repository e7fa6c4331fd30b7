package delivery

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/clock"
	"carawayknot.example/carawayknot/pkg/request"
)

const (
	// gapLimit is the pause after which a stream that may be resumed is asked for elsewhere, in milliseconds: callers give up
	// a stream after 2 s at the earliest, and accept pauses of 1 s.
	gapLimit clock.Millis = 1700
	// leastGaps and mostGaps are how many pauses of a stream tell its pace, and how many are kept.
	leastGaps, mostGaps = 3, 64
	// streamBytes is the size of the reads of a stream.
	streamBytes = 8 << 10
)

var (
	eventEnd  = []byte("\n\n")
	idField   = []byte("id:")
	errBadEnd = errors.New("the stream ended within an event")
)

// splitEvents returns the whole events at the beginning of b, the id of the last of them, and what is left.
func splitEvents(b []byte) (events []byte, id string, rest []byte) {
	end := bytes.LastIndex(b, eventEnd)
	if end < 0 {
		return nil, "", b
	}
	events, rest = b[:end+len(eventEnd)], b[end+len(eventEnd):]
	for _, line := range bytes.Split(events, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
	return events, id, rest
}

// stream passes whole events on as they come; the head goes out with the first of them.
func (p *passage) stream(resp *http.Response, head request.Head, firstSeen func()) error {
	gap := p.gapTimer()
	defer gap.Stop()
	buffer := make([]byte, 0, streamBytes)
	for {
		if len(buffer) == cap(buffer) {
			if len(buffer) >= wholeBytes {
				return errEventTooLong
			}
			buffer = append(buffer, make([]byte, len(buffer))...)[:len(buffer)]
		}
		n, err := resp.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		events, id, rest := splitEvents(buffer)
		if len(events) > 0 {
			firstSeen()
			gap.Stop()
			if werr := p.passEvents(head, events, id); werr != nil {
				return werr
			}
			buffer = buffer[:copy(buffer, rest)]
			p.resetGap(gap)
		}
		if errors.Is(err, io.EOF) {
			return p.endStream(head, buffer)
		}
		if err != nil {
			return p.cut(err)
		}
	}
}

func (p *passage) passEvents(head request.Head, events []byte, id string) error {
	c, now := p.call, p.Clock.Now()
	if p.lastAt > 0 && len(p.gaps) < mostGaps {
		p.gaps = append(p.gaps, now-p.lastAt)
	}
	p.lastAt = now
	if p.first == 0 {
		p.first = max(1, now-p.began)
		if c.Begun != nil {
			c.Begun()
		}
	}
	if err := p.passHead(head); err != nil {
		return err
	}
	if err := c.Writer.WriteBytes(p.ctx, c, events); err != nil {
		return &writeError{cause: err}
	}
	if id != "" {
		c.After = id
	}
	c.Shown = true
	return nil
}

// shortGap returns the lower quartile of the pauses: what else an engine reads meanwhile makes some of them long.
func shortGap(gaps []clock.Millis) clock.Millis {
	if len(gaps) < leastGaps {
		return 0
	}
	slices.Sort(gaps)
	return max(1, gaps[len(gaps)/4])
}

// passHead passes the head on, unless the caller has that of an attempt before.
func (p *passage) passHead(head request.Head) error {
	c := p.call
	if c.Headed {
		return nil
	}
	head.Length = -1
	if err := c.Writer.WriteHead(p.ctx, c, head); err != nil {
		return &writeError{cause: err}
	}
	c.Headed = true
	return nil
}

func (p *passage) endStream(head request.Head, rest []byte) error {
	if len(bytes.TrimSpace(rest)) > 0 {
		return &cutError{cause: errBadEnd}
	}
	if err := p.passHead(head); err != nil {
		return err
	}
	if err := p.call.Writer.WriteEnd(p.ctx, p.call, request.End{}); err != nil {
		return &writeError{cause: err}
	}
	return nil
}

// gapTimer ends the attempt when the stream pauses for too long after its first event.
func (p *passage) gapTimer() *time.Timer {
	t := time.AfterFunc(time.Hour, func() { p.stop(errGap) })
	t.Stop()
	return t
}

func (p *passage) resetGap(t *time.Timer) {
	if p.call.Route.Resumable {
		t.Reset(gapLimit.Duration())
	}
}
