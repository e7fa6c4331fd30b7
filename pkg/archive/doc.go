// Package archive reads the platform's log: it replays the configuration stream into a state, takes turns with other
// instances in appending checkpoints, and appends changes and waits for a majority to have them. It also follows the topics of the
// platform's store and caches their records for other instances.
package archive
