package handover

import (
	"context"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"spindlehitch/internal/testbed/seeded"
)

// TestMain is also the main function of the processes that startProcess starts: such a process joins the group, prints "joined"
// and stays until it is killed.
func TestMain(m *testing.M) {
	if dir := os.Getenv("HANDOVER_TEST_DIR"); dir != "" {
		g, err := Join(dir, "n1", slog.New(slog.DiscardHandler))
		if err != nil {
			os.Exit(3)
		}
		phase, _ := strconv.Atoi(os.Getenv("HANDOVER_TEST_PHASE"))
		_ = g.SetPhase(Phase(phase))
		os.Stdout.WriteString("joined\n")
		time.Sleep(time.Minute)
	}
	seeded.Main(m)
}

// startProcess starts another process and waits until it has joined in the phase.
func startProcess(t *testing.T, dir string, p Phase) *exec.Cmd {
	t.Helper()
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "HANDOVER_TEST_DIR="+dir, "HANDOVER_TEST_PHASE="+strconv.Itoa(int(p)))
	out, err := c.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	if _, err := out.Read(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	return c
}

func requireView(t *testing.T, g *Group, want View) {
	t.Helper()
	if got, err := g.Observe(); err != nil || got != want {
		t.Errorf("observed %+v, %v; want %+v", got, err, want)
	}
}

// TestTwoUpgrades runs two upgrades with real processes: a process counts while it lives, however it ends, and an older one is
// superseded by a younger one that serves, but not by one that never gets to serve.
func TestTwoUpgrades(t *testing.T) {
	dir := t.TempDir()
	g, err := Join(dir, "n1", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	_ = g.SetPhase(Serving)
	requireView(t, g, View{Processes: 1})
	stuck := startProcess(t, dir, Starting)
	requireView(t, g, View{Processes: 2})
	next := startProcess(t, dir, Serving)
	requireView(t, g, View{Processes: 3, Superseded: true})
	if got := viewOf(Member{StartedAt: time.Now().UnixNano()}, []Member{{StartedAt: g.self.StartedAt, Phase: Serving}}); got.Superseded {
		t.Error("the younger process is superseded by the older one")
	}
	_ = next.Process.Kill()
	_ = next.Wait()
	requireView(t, g, View{Processes: 2})
	_ = stuck.Process.Kill()
	_ = stuck.Wait()
	draining := startProcess(t, dir, Draining)
	requireView(t, g, View{Processes: 2, Draining: 1})
	_ = draining.Process.Kill()
	_ = draining.Wait()
	requireView(t, g, View{Processes: 1})
	if files, _ := filepath.Glob(filepath.Join(dir, "*")); len(files) != 2 {
		t.Errorf("files left: %q; want only the two of this process", files)
	}
	g.Close()
	if files, _ := filepath.Glob(filepath.Join(dir, "*")); len(files) != 0 {
		t.Errorf("files left after Close: %q", files)
	}
}

// TestUnreadableState has a live process whose state file is missing, truncated, corrupt or of another version: it counts
// towards the processes that share the limits, and is no successor.
func TestUnreadableState(t *testing.T) {
	dir := t.TempDir()
	g, err := Join(dir, "n1", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	c := startProcess(t, dir, Serving)
	path := g.path(c.Process.Pid, stateSuffix)
	state, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"", string(state[:len(state)-2]), "2" + string(state[1:]), "x" + string(state), string(state) + string(state)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		requireView(t, g, View{Processes: 2})
	}
	os.Remove(path)
	requireView(t, g, View{Processes: 2})
	// Names that belong to no process of the group.
	_ = os.WriteFile(filepath.Join(dir, g.prefix+"x"+lockSuffix), nil, 0o600)
	_ = os.WriteFile(filepath.Join(dir, "handover-other-1"+lockSuffix), nil, 0o600)
	requireView(t, g, View{Processes: 2})
}

// TestJoinMissingFolder checks that Join fails if the folder is missing.
func TestJoinMissingFolder(t *testing.T) {
	if _, err := Join(filepath.Join(t.TempDir(), "none"), "n1", slog.New(slog.DiscardHandler)); err == nil {
		t.Error("joined in a missing folder")
	}
}

// TestWatch checks that Watch reports a view once for each change.
func TestWatch(t *testing.T) {
	dir := t.TempDir()
	g, err := Join(dir, "n1", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	views := make(chan View, 16)
	go g.Watch(ctx, func(v View) { views <- v })
	c := startProcess(t, dir, Starting)
	if got := <-views; got != (View{Processes: 2}) {
		t.Errorf("reported %+v", got)
	}
	_ = c.Process.Kill()
	_ = c.Wait()
	if got := <-views; got != (View{Processes: 1}) {
		t.Errorf("reported %+v", got)
	}
}

// TestCorruptState truncates and alters a state anywhere, and parses random bytes: only the unaltered state is accepted.
func TestCorruptState(t *testing.T) {
	dir := t.TempDir()
	g, err := Join(dir, "n1", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	whole, err := os.ReadFile(g.path(g.self.PID, stateSuffix))
	if err != nil {
		t.Fatal(err)
	}
	if m, err := parseState(whole); err != nil || m != g.self {
		t.Fatalf("%q read as %+v, %v", whole, m, err)
	}
	rapid.Check(t, func(t *rapid.T) {
		if m, err := parseState(whole[:rapid.IntRange(0, len(whole)-1).Draw(t, "cut")]); err == nil {
			t.Fatalf("a truncated state was parsed as %+v", m)
		}
		changed := append([]byte(nil), whole...)
		at := rapid.IntRange(0, len(whole)-1).Draw(t, "at")
		changed[at] ^= rapid.ByteRange(1, 255).Draw(t, "by")
		if m, err := parseState(changed); err == nil && m != g.self {
			t.Fatalf("%q was parsed as %+v", changed, m)
		}
		_, _ = parseState(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
	})
}

// TestJoinBesideWatcher guards against a process that the others never see, since one of them took its lock file for that of an ended process and removed it
// in the moment between its opening and its locking.
func TestJoinBesideWatcher(t *testing.T) {
	const joins = 300
	dir := t.TempDir()
	g, err := join(dir, "n1", 1, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	defer g.Close()
	ended := make(chan struct{})
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer close(ended)
	for range 2 {
		watchers.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
					_, _ = g.others()
				}
			}
		})
	}
	for i := range joins {
		other, err := join(dir, "n1", 2+i, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		others, err := g.others()
		require.NoError(t, err)
		require.Len(t, others, 1, "join %d", i)
		require.FileExists(t, other.path(2+i, lockSuffix))
		other.Close()
	}
}
