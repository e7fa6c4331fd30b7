// Package proctest starts daemons and stand-ins as real processes for the tests in the directory test.
package proctest
