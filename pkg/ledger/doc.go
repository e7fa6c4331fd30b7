// Package ledger has the client of the platform's log service and the billing of requests through it.
package ledger
