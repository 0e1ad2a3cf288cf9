//go:build !race

package slope

const raced = false
