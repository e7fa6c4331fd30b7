// Package gateway assembles an entry instance that serves routes. It follows the configuration, the upstreams and the members in
// the platform's store, publishes immutable snapshots of them to the request path, builds the chain of request filters, controls
// the rollout of new releases of upstreams, reports readiness and drains on shutdown.
package gateway
