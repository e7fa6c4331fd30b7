// Package ledger has group commit to the platform's log, the following of its streams, and the billing of requests.
package ledger
