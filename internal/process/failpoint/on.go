//go:build faults

// Package failpoint lets fault runs stop a process deterministically at a named step. In a program that is built without the
// tag faults it does nothing.
package failpoint

import (
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"
)

// dir is the folder with the files that arm failpoints; empty: none is armed.
var dir = os.Getenv("SPINDLEHITCH_FAILPOINTS")

// waitInterval is the time between two checks whether a waiting caller is released.
const waitInterval = 2 * time.Millisecond

// Hit performs the action in the file of that name in the folder SPINDLEHITCH_FAILPOINTS, and removes the file. The actions are
// stop (the process, until SIGCONT), kill, hang (the caller, until the process ends), and wait (the caller, until the file with
// the suffix .hit is removed). The action performed is recorded in a file with the suffix .hit.
func Hit(name string) {
	if dir == "" {
		return
	}
	path := filepath.Join(dir, name)
	b, err := os.ReadFile(path)
	if err != nil || os.Remove(path) != nil {
		return // not armed, or another caller has removed the file first
	}
	os.WriteFile(path+".hit", b, 0o600)
	switch string(b) {
	case "stop":
		unix.Kill(os.Getpid(), unix.SIGSTOP)
		// The signal goes to the process: this thread may run on for a moment before it is stopped.
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
