// Package trace has recorded request traces and a deterministic discrete-event replay of them through the request filters
// of the router. A replay reports cost, quality, latency, retries, exposure to degraded versions and the failures caused by
// the evacuation of an availability zone, for the router, an oracle and simple baseline policies.
package trace
