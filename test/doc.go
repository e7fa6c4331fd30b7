// Package test proves the promises with real processes, sockets and signals; its tests need the tag process or soak.
package test
