// Package ledger has group commit to the log service, a stream follower, and the exactly-once billing of requests.
//
// A Biller is a request filter. It wraps cascades and retries, so that they share one bill, and is wrapped by the filter for
// idempotency keys, so that a replayed answer isn't billed again. It queues each bill in an Outbox, which appends it to the log.
// While the log is slow or down, a peer, the keeper of the bill, holds a replica in its BillKeeper and appends the bill if
// the heartbeats of its origin stop. Bills are thus appended at least once, and Fold ignores the duplicates.
//
// A Tail hands over the batches of a stream. A batch that reaches its End proves that the stream was read to its end as of the
// time before the read. An Oldest above the expected offset means that entries were trimmed before they were read, and an End
// below it that the log lost its tail. Failed reads are retried with exponential back-off.
package ledger
