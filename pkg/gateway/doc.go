// Package gateway assembles an entry instance that serves routes: the control state read from the platform's store, the line
// of filters, readiness and shutdown.
package gateway
