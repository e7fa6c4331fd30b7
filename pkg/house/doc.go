// Package house assembles a daemon: control actor, request line and shutdown.
package house
