// Package reservation makes requests that must not be repeated run at most once. A request carries an idempotency key;
// instances append claims on keys to a shared log stream, and the first claim in log order wins. The outcome is appended
// too, so that a repeated request gets the recorded answer instead of a second run.
package reservation
