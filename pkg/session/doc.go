// Package session has the pins that keep a session on its version: signed for the caller to send along, and held by
// two instances in different availability zones. Withdrawal of a version goes before its pin: callers check
// Snapshot.PermitVersion on every pinned version.
package session
