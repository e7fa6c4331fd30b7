// Package dispatch selects the upstream of each request: admission control, load balancing, session and prompt affinity, canary
// releases, cold-start and outlier detection, and budgeted retries.
package dispatch
