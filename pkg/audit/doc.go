// Package audit checks a route configuration before it is sent: what an instance refuses, entries that never match, settings that
// contradict each other, and what changes against another configuration. It sends nothing and has no state.
package audit
