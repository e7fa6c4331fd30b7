// Package entry assembles a daemon: control actor, loops that feed it, line of filters, listeners and shutdown.
package entry
