// Package standin has stand-ins for the services of the platform, whose faults can be set while they run, for tests and trials.
// They serve the protocols that docs/PLATFORM.md specifies.
package standin
