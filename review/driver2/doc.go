//go:build review

// Command driver2 plays the scripted cases of the second review: it starts instances of the router as the deploy file does, with stand-ins of the
// platform around them on loopback addresses, and checks one rule.
package main
