// Package admission decides which routed calls give way when the upstreams of a service are short of room: the less urgent first.
package admission
