package virtualtime

import (
	"sync"
	"testing"
	"time"
)

// TestTimerChannelsTogether guards against a crash of the race detector when a bubble's timer channels fire on several
// processors.
func TestTimerChannelsTogether(t *testing.T) {
	Test(t, func(*testing.T) {
		var all sync.WaitGroup
		for range 300 {
			all.Go(func() {
				for range 300 {
					timer := time.NewTimer(time.Second)
					time.Sleep(time.Second)
					select {
					case <-timer.C:
					default:
					}
				}
			})
		}
		all.Wait()
	})
}
