// Package desk serves the HTTP APIs of an instance: chat completions and plain services for callers, administration for
// operators, and Prometheus metrics. It also has the filters that authenticate a call and resolve its route, profile or service.
package desk
