// Package clock has the millisecond time type of the project, the clock of the host, and a manual clock for tests.
package clock
