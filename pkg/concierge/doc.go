// Package concierge has the choice of the upstream of a request: admission limits, load, cold start and retries.
package concierge
