// Package clock has the millisecond time type of the project and its real and manual sources.
package clock
