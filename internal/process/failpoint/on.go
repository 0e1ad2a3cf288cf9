//go:build faults

// Package failpoint lets fault runs stop a process at a named step, aimed and not left to luck. A program that is built without the tag
// faults has none of it.
package failpoint

import (
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

var dir = os.Getenv("SPINDLEHITCH_FAILPOINTS")

// waitInterval is the time between two looks at whether a caller that waits is released.
const waitInterval = 2 * time.Millisecond

// Hit does what a file of that name in the folder SPINDLEHITCH_FAILPOINTS says, and removes it: stop (the process, until SIGCONT),
// kill, hang (the caller, until the process ends), or wait (the caller, until the file with the ending .hit is removed). What
// happened is noted in a file with the ending .hit.
func Hit(name string) {
	if dir == "" {
		return
	}
	path := filepath.Join(dir, name)
	b, err := os.ReadFile(path)
	if err != nil || os.Remove(path) != nil {
		return // not armed, or another got there first
	}
	os.WriteFile(path+".hit", b, 0o600)
	switch string(b) {
	case "stop":
		unix.Kill(os.Getpid(), unix.SIGSTOP)
		// The signal is the process's: this thread may run on for a moment until it is taken.
		time.Sleep(20 * time.Millisecond)
	case "kill":
		unix.Kill(os.Getpid(), unix.SIGKILL)
		select {}
	case "hang":
		select {}
	case "wait":
		for released := false; !released; {
			time.Sleep(waitInterval)
			_, err := os.Stat(path + ".hit")
			released = os.IsNotExist(err)
		}
	}
}
