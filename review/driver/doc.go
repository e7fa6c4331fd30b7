//go:build review

// Command driver runs the cases of the review: it starts instances with the commands of the deploy file, a store and replicas on loopback
// addresses, sends requests as consumers do, and checks one rule of the platform by what consumers and replicas have seen.
package main
