package gateway

import (
	"testing"

	"carawayknot.example/carawayknot/pkg/clock"
)

// Failure: hundreds of instances each logged a line for each of hundreds of upstreams, most of what they wrote.
func TestLinesOfSingleUpstreamsAreBounded(t *testing.T) {
	var l lineLimit
	lines := 0
	for now := clock.Millis(1000); now < 61_000; now += 100 {
		for range 30 {
			if l.allow(now) {
				lines++
			}
		}
	}
	if want := 80; lines > want || lines < want-2 {
		t.Errorf("%d lines in 60 s of 300 changes a second, want %d", lines, want)
	}
}

func TestFewChangesAreAllLogged(t *testing.T) {
	var l lineLimit
	for now := clock.Millis(1000); now < 600_000; now += 2000 {
		if !l.allow(now) {
			t.Fatalf("the line at %d ms was left out", now)
		}
	}
}
