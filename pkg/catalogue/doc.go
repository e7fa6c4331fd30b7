// Package catalogue has the configuration objects and the changes to them, the state machine that applies the changes in log
// order, the routes and releases, and the immutable snapshot by which requests are routed.
package catalogue
