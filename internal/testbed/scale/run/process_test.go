package run

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var quiet = slog.New(slog.DiscardHandler)

// children returns the ids of the child processes of a process.
func children(pid int) (pids []int) {
	all, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, path := range all {
		b, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		_, after, _ := strings.Cut(string(b), ") ")
		if f := strings.Fields(after); len(f) > 1 && f[1] == strconv.Itoa(pid) {
			var n int
			_, _ = fmt.Sscanf(filepath.Base(filepath.Dir(path)), "%d", &n)
			pids = append(pids, n)
		}
	}
	return pids
}

// gone reports whether a process has ended.
func gone(pid int) bool {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, state, found := strings.Cut(string(b), ") ")
	return err != nil || found && state[0] == 'Z'
}

// TestStopsItsProcesses checks that no process is left of a run that is interrupted, or killed, while its agents, relays and hosts run.
func TestStopsItsProcesses(t *testing.T) {
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin, "spindlehitch/cmd/spindlehitch", "spindlehitch/cmd/spindlehitch-scale").CombinedOutput()
	require.NoError(t, err, string(out))
	file := filepath.Join(bin, "small.toml")
	require.NoError(t, os.WriteFile(file, []byte(strings.Replace(small, "for_s = 1", "for_s = 600", 1)), 0o600))
	for _, by := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(by.String(), func(t *testing.T) {
			cmd := exec.Command(filepath.Join(bin, "spindlehitch-scale"), "run", file, "--dir", t.TempDir())
			stderr, err := cmd.StderrPipe()
			require.NoError(t, err)
			require.NoError(t, cmd.Start())
			defer func() { _ = cmd.Process.Kill() }()
			lines := bufio.NewScanner(stderr)
			for lines.Scan() && !strings.Contains(lines.Text(), "initiators up") {
			}
			require.NoError(t, lines.Err())
			begun := children(cmd.Process.Pid)
			require.Len(t, begun, 1+2+1, "an agent, two relays, a host")
			require.NoError(t, cmd.Process.Signal(by))
			go func() { _, _ = io.Copy(io.Discard, stderr) }()
			ended := make(chan error, 1)
			go func() { ended <- cmd.Wait() }()
			select {
			case err := <-ended:
				require.Error(t, err, "an interrupted run reports no limits as held")
			case <-time.After(time.Minute):
				t.Fatal("the run did not end within a minute")
			}
			require.Eventually(t, func() bool {
				for _, pid := range begun {
					if !gone(pid) {
						return false
					}
				}
				return true
			}, time.Minute, 20*time.Millisecond)
		})
	}
}
