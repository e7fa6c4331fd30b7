// Package quarantine keeps what is quarantined in the platform's store, so that it outlives the end of all instances at once.
package quarantine
