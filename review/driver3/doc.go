//go:build review

// Command driver3 runs the cases of the third review: it starts instances with the command of the deploy file, on stand-ins of the
// platform, and judges what callers and upstreams see.
package main
