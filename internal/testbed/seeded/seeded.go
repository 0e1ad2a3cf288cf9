// Package seeded runs a package's tests with a fixed seed for their random cuts: the verdict is the same each
// time.
package seeded

import (
	"flag"
	"os"
	"testing"
)

// Main is for TestMain.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
