// Package reservation has the claims by which a request that must not be repeated runs at most once.
package reservation
