// Package seeded runs a package's tests with a fixed seed for rapid's random checks, so that the result is the same
// each time.
package seeded

import (
	"flag"
	"os"
	"testing"
)

// Main is for TestMain. It sets the seed and runs the tests.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
