// Package rating has the health statistics of model versions and the detection of versions and releases that turn bad.
//
// A HealthTracker sums up ratings and attempts of each version and task, and runs CUSUM tests against a learned baseline. Its
// counters only grow, so that instances can exchange them by gossip and merge them in any order. A Comparison compares the failures
// and the latency of a new release with those of the old one.
package rating
