package duty

import "carawayknot.example/carawayknot/pkg/clock"

// Lease is the right of one instance to carry out a duty until it lapses.
type Lease struct {
	// Duty is the name of the duty, and Holder that of the instance.
	Duty   string
	Holder string
	// Token is the fencing token, which rises with each new holder.
	Token int64
	// Until is the monotonic time from which the lease may not be used any more.
	Until clock.Millis
}

// Era returns the era of the store in which the holder acquired the lease.
func (l Lease) Era() int64 { return l.Token >> offsetBits }
