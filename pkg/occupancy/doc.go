// Package occupancy bounds the requests in flight at fragile upstreams, which fail when they have to reject many requests within a second. Each
// instance holds a part of the slots of an upstream, so that all instances together send no more than it has room for without asking each
// other before a request.
package occupancy
