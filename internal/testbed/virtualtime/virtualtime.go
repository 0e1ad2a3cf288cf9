// Package virtualtime runs tests in bubbles of testing/synctest, in which time passes only while all goroutines wait.
package virtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Test runs f in a bubble, on one processor. In Go 1.26 all processors that fire a bubble's timer channels share one context of the
// race detector (unlockAndRun in runtime/time.go), which crashes once two do so at a time. The detector goes by the order of
// synchronization, not by what happens to run at the same moment, so it loses nothing. It must not run beside parallel tests.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, f)
}
