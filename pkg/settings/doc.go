// Package settings has the settings of a daemon with their defaults, parser and checks, its key files, its loggers and the
// dependencies that its parts share.
package settings
