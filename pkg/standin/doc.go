// Package standin has small stand-ins for the services of the platform, with switches for their faults.
// They speak the protocols of docs/PLATFORM.md and serve tests and first trials only.
package standin
