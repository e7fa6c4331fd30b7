// Package session implements session affinity to model versions. A pin binds a session to a version; the caller carries it in a
// signed token, and two instances in different availability zones replicate it in memory. Withdrawal of a version takes
// precedence over a pin: users of this package check each pinned version with Snapshot.PermitVersion.
package session
