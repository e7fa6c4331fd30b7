package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"regexp"

	"carawayknot.example/carawayknot/pkg/clock"
)

const (
	// minRequestBytes leaves room for the longest event of an engine.
	minRequestBytes = 64 << 10
	maxBytes        = 64 << 30
	maxInFlight     = 1_000_000
	maxTime         = 24 * 60 * 60 * clock.Second
	// minHorizon is above the time that one exchange with the log or the peers takes.
	minHorizon    = 500
	maxVerbosity  = 9
	maxNameLength = 64
)

var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// verify returns the *FieldError of the first field that can't be used.
func (d *decoder) verify(checks []fieldCheck) error {
	for _, c := range checks {
		if c.ok {
			continue
		}
		if at, has := d.offsets[c.field]; has {
			return d.fail(c.field, at, c.want)
		}
		return &FieldError{Field: c.field, Want: c.want}
	}
	return nil
}

// fieldCheck is the verdict on one field.
type fieldCheck struct {
	field string
	ok    bool
	want  string
}

func checks(s *Settings) []fieldCheck {
	t, l := &s.Times, &s.Limits
	return []fieldCheck{
		name("Name", s.Name),
		name("Zone", s.Zone),
		address("CallerAddress", s.CallerAddress),
		address("AdminAddress", s.AdminAddress),
		address("PeerAddress", s.PeerAddress),
		baseURL("Platform.Log", s.Platform.Log, true),
		baseURL("Platform.List", s.Platform.List, true),
		baseURL("Platform.Ratings", s.Platform.Ratings, false),
		baseURL("Platform.Weights", s.Platform.Weights, false),
		file("Keys.AdminFile", s.Keys.AdminFile),
		file("Keys.PeerFile", s.Keys.PeerFile),
		file("Keys.SessionFile", s.Keys.SessionFile),
		size("Limits.BodyBytes", l.BodyBytes, 1),
		size("Limits.AnswerBytes", l.AnswerBytes, l.RequestBytes),
		size("Limits.RequestBytes", l.RequestBytes, minRequestBytes),
		{"Limits.InFlight", l.InFlight >= 1 && l.InFlight <= maxInFlight, "a whole number from 1 to 1000000"},
		{"Limits.RetryShare", l.RetryShare >= 0 && l.RetryShare <= 1, "a number from 0 to 1"},
		span("Times.Horizon", t.Horizon, minHorizon),
		span("Times.LogWait", t.LogWait, 1),
		span("Times.ListPoll", t.ListPoll, 1),
		span("Times.ListLag", t.ListLag, 1),
		span("Times.ColdLease", t.ColdLease, 1),
		span("Times.ColdHold", t.ColdHold, 1),
		{"Times.ListPoll", t.ListPoll < t.ColdLease, "less than Times.ColdLease, or no share of a cold upstream is ever held"},
		span("Times.LoadPoll", t.LoadPoll, 1),
		span("Times.RatingPoll", t.RatingPoll, 1),
		span("Times.PeerTick", t.PeerTick, 1),
		span("Times.Connect", t.Connect, 1),
		span("Times.Stall", t.Stall, 1),
		span("Times.SlowReader", t.SlowReader, 1),
		span("Times.Drain", t.Drain, 1),
		{"Times.PeerTick", t.PeerTick < t.Horizon, "less than Times.Horizon, or no view is ever fresh"},
		{"Logging.Format", s.Logging.Format == "json" || s.Logging.Format == "console", `"json" or "console"`},
		{"Logging.Verbosity", s.Logging.Verbosity >= 0 && s.Logging.Verbosity <= maxVerbosity, "a whole number from 0 to 9"},
	}
}

func name(field, v string) fieldCheck {
	ok := len(v) <= maxNameLength && nameForm.MatchString(v)
	return fieldCheck{field, ok, "a name of letters, digits, dots, hyphens and underscores, at most 64 long"}
}

func address(field, v string) fieldCheck {
	_, err := netip.ParseAddrPort(v)
	return fieldCheck{field, err == nil, `an IP number and a port, as "10.0.0.1:8080"`}
}

func baseURL(field, v string, required bool) fieldCheck {
	u, err := url.Parse(v)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == ""
	return fieldCheck{field, ok || v == "" && !required, `a URL, as "http://10.0.0.9:9000"`}
}

func file(field, v string) fieldCheck {
	return fieldCheck{field, v != "", "the path of a file that holds the key"}
}

func size(field string, v, least int64) fieldCheck {
	return fieldCheck{field, v >= least && v <= maxBytes, fmt.Sprintf("a number of bytes from %d to %d", least, int64(maxBytes))}
}

func span(field string, v, least clock.Millis) fieldCheck {
	return fieldCheck{field, v >= least && v <= maxTime, fmt.Sprintf("a number of milliseconds from %d to %d", least, maxTime)}
}
