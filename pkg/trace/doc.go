// Package trace has recorded traces, their replay through the real request filters on a manual clock, and the measures
// of a replay: cost, latency, exposure to bad versions and service while an availability zone moves.
package trace
