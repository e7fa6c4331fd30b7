// Package backoffice has the HTTP clients of the platform's services: the log, the instance list, answer ratings, the weight
// store and the control API of model engines. docs/PLATFORM.md specifies the protocols.
package backoffice
