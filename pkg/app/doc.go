// Package app implements the command lines of the daemon carawayknotd and of the operator tool carawayknot.
package app
