// Package membership has the set of live instances and the RPC between them: gossip of published items, proofs that configuration
// and instance list are current, shared reads of the store, load reports, and rendezvous ranks that divide upstreams among instances.
package membership
