// Package backoffice has the clients of the platform's services: log, list of instances, ratings, weight store and the
// control side of model engines. docs/PLATFORM.md has the protocols.
package backoffice
