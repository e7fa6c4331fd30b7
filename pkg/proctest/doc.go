// Package proctest runs daemons and stand-ins for the platform's services as real processes, linked by TCP relays that inject
// network faults. Tests use it to start a system, send requests as callers and operators do, and inspect what was executed.
package proctest
