//go:build !race

package courier

// raceEnabled is true in builds with the race detector, where large runs are made smaller.
const raceEnabled = false
