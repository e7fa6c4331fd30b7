package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// minRequestBytes leaves room for the longest event of a stream.
	minRequestBytes = 64 << 10
	maxBytes        = 64 << 30
	maxInFlight     = 1_000_000
	maxDuration     = 24 * 60 * 60 * clock.Second
	// minPropagation is above the time of one exchange with the log or a peer.
	minPropagation = 500
	maxVerbosity   = 9
	maxNameLength  = 64
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// verify returns a *FieldError for the first field that fails its check.
func (d *decoder) verify(checks []fieldCheck) error {
	for _, c := range checks {
		if c.ok {
			continue
		}
		if offset, found := d.offsets[c.field]; found {
			return d.fieldError(c.field, offset, c.want)
		}
		return &FieldError{Field: c.field, Want: c.want}
	}
	return nil
}

// fieldCheck is the result of checking one field; want describes the values that are accepted.
type fieldCheck struct {
	field string
	ok    bool
	want  string
}

func settingsChecks(s *Settings) []fieldCheck {
	t, l := &s.Times, &s.Limits
	return []fieldCheck{
		checkName("Name", s.Name),
		checkName("Zone", s.Zone),
		checkAddress("CallerAddress", s.CallerAddress),
		checkAddress("AdminAddress", s.AdminAddress),
		checkAddress("PeerAddress", s.PeerAddress),
		checkURL("Platform.Log", s.Platform.Log, true),
		checkURL("Platform.List", s.Platform.List, true),
		checkURL("Platform.Ratings", s.Platform.Ratings, false),
		checkURL("Platform.Weights", s.Platform.Weights, false),
		checkFile("Keys.AdminFile", s.Keys.AdminFile),
		checkFile("Keys.PeerFile", s.Keys.PeerFile),
		checkFile("Keys.SessionFile", s.Keys.SessionFile),
		checkSize("Limits.BodyBytes", l.BodyBytes, 1),
		checkSize("Limits.AnswerBytes", l.AnswerBytes, l.RequestBytes),
		checkSize("Limits.RequestBytes", l.RequestBytes, minRequestBytes),
		{"Limits.InFlight", l.InFlight >= 1 && l.InFlight <= maxInFlight, "a whole number from 1 to 1000000"},
		{"Limits.RetryShare", l.RetryShare >= 0 && l.RetryShare <= 1, "a number from 0 to 1"},
		checkDuration("Times.Horizon", t.Horizon, minPropagation),
		checkDuration("Times.LogWait", t.LogWait, 1),
		checkDuration("Times.ListPoll", t.ListPoll, 1),
		checkDuration("Times.ListLag", t.ListLag, 1),
		checkDuration("Times.ColdLease", t.ColdLease, 1),
		checkDuration("Times.ColdHold", t.ColdHold, 1),
		{"Times.ListPoll", t.ListPoll < t.ColdLease, "less than Times.ColdLease, otherwise the instance never holds a share of a cold upstream"},
		checkDuration("Times.LoadPoll", t.LoadPoll, 1),
		checkDuration("Times.RatingPoll", t.RatingPoll, 1),
		checkDuration("Times.PeerTick", t.PeerTick, 1),
		checkDuration("Times.Connect", t.Connect, 1),
		checkDuration("Times.Stall", t.Stall, 1),
		checkDuration("Times.SlowReader", t.SlowReader, 1),
		checkDuration("Times.Drain", t.Drain, 1),
		{"Times.PeerTick", t.PeerTick < t.Horizon, "less than Times.Horizon, otherwise the view of the configuration is always stale"},
		{"Logging.Format", s.Logging.Format == "json" || s.Logging.Format == "console", `"json" or "console"`},
		{"Logging.Verbosity", s.Logging.Verbosity >= 0 && s.Logging.Verbosity <= maxVerbosity, "a whole number from 0 to 9"},
	}
}

func checkName(field, v string) fieldCheck {
	ok := len(v) <= maxNameLength && namePattern.MatchString(v)
	return fieldCheck{field, ok, "a name of at most 64 letters, digits, dots, hyphens and underscores"}
}

func checkAddress(field, v string) fieldCheck {
	_, err := netip.ParseAddrPort(v)
	return fieldCheck{field, err == nil, `an IP address and a port, such as "10.0.0.1:8080"`}
}

func checkURL(field, v string, required bool) fieldCheck {
	u, err := url.Parse(v)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == ""
	return fieldCheck{field, ok || v == "" && !required, `a URL such as "http://10.0.0.9:9000"`}
}

func checkFile(field, v string) fieldCheck {
	return fieldCheck{field, v != "", "the path of a file that holds the key"}
}

func checkSize(field string, v, minimum int64) fieldCheck {
	return fieldCheck{field, v >= minimum && v <= maxBytes, fmt.Sprintf("a number of bytes from %d to %d", minimum, int64(maxBytes))}
}

func checkDuration(field string, v, minimum clock.Millis) fieldCheck {
	return fieldCheck{field, v >= minimum && v <= maxDuration, fmt.Sprintf("a number of milliseconds from %d to %d", minimum, maxDuration)}
}
