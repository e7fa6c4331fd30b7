// Package entry assembles a router instance: the control thread and the periodic loops that feed it, the filter chain
// for requests, the listeners, and graceful shutdown.
package entry
