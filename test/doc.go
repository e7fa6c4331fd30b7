// Package test checks the guarantees of the router, numbered P01 to P12 in the names of the tests, on running systems of daemons
// and stand-ins with real processes, sockets and signals. Its tests need the build tag process or soak.
package test
