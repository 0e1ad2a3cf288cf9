// Package virtualtime runs tests in bubbles of testing/synctest, in which time advances only while all goroutines are
// blocked.
package virtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f in a bubble with GOMAXPROCS 1. In Go 1.26 all processors that fire a bubble's timer channels share one
// context of the race detector (unlockAndRun in runtime/time.go), which crashes if two of them do so at the same time.
// The detector uses the order of synchronization, not what happens to run at the same moment, so a single processor
// hides no race from it. Test must not run beside parallel tests, since GOMAXPROCS is global.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}
