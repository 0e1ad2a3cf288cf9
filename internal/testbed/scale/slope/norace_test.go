//go:build !race

package slope

const raceEnabled = false
