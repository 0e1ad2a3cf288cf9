//go:build race

package slope

// raced tells that the race detector is in the program: what it costs, in time and in memory, is no slope.
const raced = true
