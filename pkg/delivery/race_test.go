//go:build race

package delivery

// raceEnabled is true in builds with the race detector, where large runs are made smaller.
const raceEnabled = true
