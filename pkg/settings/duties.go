package settings

import (
	"net/netip"
	"slices"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Duties has the duties toward the platform that one instance at a time carries out; without an Address there are none.
type Duties struct {
	// Address is where the platform takes the calls, as ip:port.
	Address string
	// Names are the duties that the platform asks for.
	Names []string
	// PerSecond is the number of calls that all instances together may make in a second.
	PerSecond float64
	// FencingRequired is true if the platform refuses calls with a superseded fencing token.
	FencingRequired bool
	// Lease is the time in which the duties may not return to an instance that held them before, and Thaw the time after which an
	// instance that was suspended counts as running again.
	Lease clock.Millis
	Thaw  clock.Millis
	// ReportWindowSeconds is the length of the windows of usage, and UsageDelaySeconds how long after its end the report of one is due.
	ReportWindowSeconds float64
	UsageDelaySeconds   float64
	// UsageTolerance is the share by which a count may be off.
	UsageTolerance float64
}

// Enabled reports whether the platform asks for a duty.
func (d *Duties) Enabled(name string) bool { return d.Address != "" && slices.Contains(d.Names, name) }

// ReportWindow returns the length of a window of usage, in milliseconds.
func (d *Duties) ReportWindow() clock.Millis { return fromSeconds(d.ReportWindowSeconds) }

// UsageDelay returns how long after the end of its window a report of usage is due, in milliseconds.
func (d *Duties) UsageDelay() clock.Millis { return fromSeconds(d.UsageDelaySeconds) }

// minWindow leaves room for collecting the counts of a window.
const minWindow = clock.Second

func dutyChecks(d *Duties) []fieldCheck {
	if d.Address == "" {
		return nil
	}
	_, err := netip.ParseAddrPort(d.Address)
	return []fieldCheck{
		{"Duties.Address", err == nil, `an IP address and a port, such as "10.0.0.1:8080", or none`},
		{"Duties.PerSecond", d.PerSecond > 0, "a number above 0"},
		checkDuration("Duties.Lease", d.Lease, minPropagation),
		checkDuration("Duties.Thaw", d.Thaw, 0),
		checkDuration("Duties.ReportWindowSeconds", d.ReportWindow(), minWindow),
		checkDuration("Duties.UsageDelaySeconds", d.UsageDelay(), minWindow),
		{"Duties.UsageTolerance", d.UsageTolerance >= 0 && d.UsageTolerance <= 1, "a number from 0 to 1"},
	}
}
