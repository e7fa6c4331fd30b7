// Package archive follows the configuration stream of the log, writes its checkpoints and appends changes to it.
package archive
