//go:build race

package slope

// raceEnabled reports whether the race detector is on. Its cost in time and memory would distort the slopes.
const raceEnabled = true
