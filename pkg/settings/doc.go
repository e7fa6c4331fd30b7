// Package settings has the settings of a daemon, their defaults and checks, and what all parts of a daemon share.
package settings
