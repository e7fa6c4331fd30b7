// Package dispatch has the choice of the upstream of a request: admission limits, load, cold start and retries.
package dispatch
