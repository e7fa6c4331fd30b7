package gateway

import "carawayknot.example/carawayknot/pkg/clock"

const (
	// lineBurst is the number of lines that a lineLimit allows at once, and linesPerSecond how many more it allows in each second.
	lineBurst      = 20.0
	linesPerSecond = 1.0
)

// lineLimit limits the log lines of one kind; it is not safe for concurrent use.
type lineLimit struct {
	used float64
	at   clock.Millis
}

// allow reports whether one more line may be logged.
func (l *lineLimit) allow(now clock.Millis) bool {
	l.used = max(0, l.used-(now-l.at).Seconds()*linesPerSecond)
	l.at = now
	if l.used+1 > lineBurst {
		return false
	}
	l.used++
	return true
}
