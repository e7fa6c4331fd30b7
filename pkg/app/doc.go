// Package app has the command lines of the daemon and of the tool.
package app
