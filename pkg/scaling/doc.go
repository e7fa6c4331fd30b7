// Package scaling decides how many upstreams of a service run in each availability zone, and orders them while this instance holds the
// lease.
package scaling
