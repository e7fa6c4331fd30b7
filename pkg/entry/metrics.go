package entry

import (
	"github.com/cockroachdb/errors"

	"carawayknot.example/carawayknot/pkg/backoffice"
)

// registerMetrics registers the metrics of the instance's components.
func (d *Daemon) registerMetrics() {
	m := d.metrics
	m.RegisterGauge("carawayknot_in_flight", "Requests being served.", func() float64 { return float64(d.inFlight.Count()) })
	m.RegisterGauge("carawayknot_held_bytes", "Bytes of answers held for readers.", func() float64 { return float64(d.budget.Held()) })
	m.RegisterGauge("carawayknot_revision", "Revision of the configuration in force.", func() float64 {
		return float64(d.control.Snapshot().Config.Revision)
	})
	m.RegisterGauge("carawayknot_view_age_seconds", "Age of the last proof that the configuration is current.", func() float64 {
		return (d.now() - d.control.Snapshot().At).Seconds()
	})
	m.RegisterGauge("carawayknot_members", "Entry instances known.", func() float64 { return float64(len(d.control.Snapshot().Members)) })
	m.RegisterGauge("carawayknot_bills_owed", "Bills that the log doesn't have yet.", func() float64 {
		_, owed := d.biller.Backlog()
		return float64(owed)
	})
	m.RegisterGauge("carawayknot_bills_unsafe", "Bills that only this instance has.", func() float64 {
		unsafe, _ := d.biller.Backlog()
		return float64(unsafe)
	})
	m.RegisterCounter("carawayknot_control_seconds_total", "Time spent in the control thread.", func() float64 {
		return d.control.Busy().Seconds()
	})
	m.RegisterCounter("carawayknot_samples_dropped_total", "Samples dropped because the control thread was behind.", func() float64 {
		return float64(d.control.Dropped())
	})
	m.RegisterCounter("carawayknot_peer_bytes_total", "Bytes between instances.", func() float64 {
		sent, _ := d.network.Traffic()
		return float64(sent)
	}, "direction", "sent")
	m.RegisterCounter("carawayknot_peer_bytes_total", "Bytes between instances.", func() float64 {
		_, received := d.network.Traffic()
		return float64(received)
	}, "direction", "received")
}

// oldestRetained returns the first offset that the log still has, when err reports that older records were trimmed.
func oldestRetained(err error) (int64, bool) {
	var trimmed *backoffice.TrimmedError
	if !errors.As(err, &trimmed) {
		return 0, false
	}
	return trimmed.Oldest, true
}
