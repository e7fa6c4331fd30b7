// Package duty lets one entry instance at a time carry out a duty toward the platform, under a lease with a fencing token.
package duty
