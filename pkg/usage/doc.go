// Package usage counts the requests that upstreams began, by workspace and window of time, and lets the holder of the lease collect the
// counts of all instances and report each window to the platform once.
package usage
