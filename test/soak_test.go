//go:build soak

package test

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"carawayknot.example/carawayknot/pkg/catalogue"
	"carawayknot.example/carawayknot/pkg/proctest"
	"carawayknot.example/carawayknot/pkg/settings"
)

const (
	// soakDaemons is the number of daemon processes, all on one host.
	soakDaemons = 60
	// soakDuration is how long the idle system is measured.
	soakDuration = 30 * time.Second
)

// setDefaultIntervals restores the default intervals, which the systems of the other tests shorten.
func setDefaultIntervals(cfg *settings.Settings) {
	t := settings.Default().Times
	cfg.Times.PeerTick, cfg.Times.ListPoll, cfg.Times.LoadPoll, cfg.Times.RatingPoll = t.PeerTick, t.ListPoll, t.LoadPoll, t.RatingPoll
	cfg.Times.ColdLease = t.ColdLease
}

// readMetrics returns the metrics of a daemon by name, summed over all label values.
func readMetrics(t *testing.T, d *proctest.Daemon) map[string]float64 {
	t.Helper()
	resp, err := http.Get("http://" + d.Settings.CallerAddress + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	out := map[string]float64{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		name, _, _ = strings.Cut(name, "{")
		if v, err := strconv.ParseFloat(value, 64); err == nil {
			out[name] += v
		}
	}
	return out
}

// TestSixtyDaemons logs the resources that each of many idle daemons uses, and how long a change takes to reach all of them.
func TestSixtyDaemons(t *testing.T) {
	s := proctest.NewSystem(t, proctest.Options{Instances: soakDaemons, Settings: setDefaultIntervals})
	var took []time.Duration
	for i := range 10 {
		began := time.Now()
		r := s.Daemons[i].MustApply(t, proctest.Put(catalogue.KindZone, "zone-d", &catalogue.Zone{Name: "zone-d"}))
		for _, d := range s.Daemons {
			d.AwaitRevision(r.Revision)
		}
		took = append(took, time.Since(began))
		t.Logf("change active everywhere after %v: %s, %d instances unconfirmed in the receipt", time.Since(began), r.State, len(r.Missing))
	}
	slices.Sort(took)
	t.Logf("a change was active at all %d daemons after %v to %v, median %v", soakDaemons, took[0], took[9], took[5])
	before := make([]map[string]float64, len(s.Daemons))
	for i, d := range s.Daemons {
		before[i] = readMetrics(t, d)
	}
	time.Sleep(soakDuration)
	for _, name := range []string{
		"carawayknot_peer_bytes_total", "carawayknot_control_seconds_total", "process_cpu_seconds_total",
	} {
		var rates []float64
		for i, d := range s.Daemons {
			rates = append(rates, (readMetrics(t, d)[name]-before[i][name])/soakDuration.Seconds())
		}
		slices.Sort(rates)
		t.Logf("%s per second: median %.6g, maximum %.6g", name, rates[len(rates)/2], rates[len(rates)-1])
	}
	var memory []string
	for _, d := range s.Daemons[:3] {
		m := readMetrics(t, d)
		memory = append(memory, fmt.Sprintf("%.1f MB resident, %.1f MB heap in use",
			m["process_resident_memory_bytes"]/1e6, m["go_memstats_heap_inuse_bytes"]/1e6))
	}
	t.Logf("memory of three daemons: %s", strings.Join(memory, "; "))
}
