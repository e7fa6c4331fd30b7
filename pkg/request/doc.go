// Package request has the types that the filters of an instance share: the request of a caller, the call that routes it to an
// upstream, the parts of a response, refusals with their outcomes, samples of attempts, and rendezvous hashing.
package request
