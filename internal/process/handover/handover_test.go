package handover

import (
	"context"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"spindlehitch/internal/testbed/seeded"
)

// TestMain is also the other process: it joins, says so, and stays until it is killed.
func TestMain(m *testing.M) {
	if dir := os.Getenv("HANDOVER_TEST_DIR"); dir != "" {
		g, err := Join(dir, "n1", slog.New(slog.DiscardHandler))
		if err != nil {
			os.Exit(3)
		}
		phase, _ := strconv.Atoi(os.Getenv("HANDOVER_TEST_PHASE"))
		_ = g.Enter(Phase(phase))
		os.Stdout.WriteString("joined\n")
		time.Sleep(time.Minute)
	}
	seeded.Main(m)
}

// other starts a process that is in the phase.
func other(t *testing.T, dir string, p Phase) *exec.Cmd {
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

func look(t *testing.T, g *Group, want View) {
	t.Helper()
	if got, err := g.Look(); err != nil || got != want {
		t.Errorf("seen %+v, %v; want %+v", got, err, want)
	}
}

// TestProcesses is two upgrades in a row, with real processes: they count while they live, in whatever way they end, and
// the older leaves for a younger one that serves, not for one that never gets there.
func TestProcesses(t *testing.T) {
	dir := t.TempDir()
	g, err := Join(dir, "n1", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	_ = g.Enter(Serving)
	look(t, g, View{Parts: 1})
	stuck := other(t, dir, Starting)
	look(t, g, View{Parts: 2})
	next := other(t, dir, Serving)
	look(t, g, View{Parts: 3, Leave: true})
	if got := decide(Member{Started: time.Now().UnixNano()}, []Member{{Started: g.me.Started, Phase: Serving}}); got.Leave {
		t.Error("the younger one leaves for the older")
	}
	_ = next.Process.Kill()
	_ = next.Wait()
	look(t, g, View{Parts: 2})
	_ = stuck.Process.Kill()
	_ = stuck.Wait()
	look(t, g, View{Parts: 1})
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) != 2 {
		t.Errorf("files left: %q, want this process's two", left)
	}
	g.Close()
	if left, _ := filepath.Glob(filepath.Join(dir, "*")); len(left) != 0 {
		t.Errorf("files left at the end: %q", left)
	}
}

// TestBrokenFiles is about a live process whose file is missing, cut, garbled or of another version: it counts for the limits
// and is no successor.
func TestBrokenFiles(t *testing.T) {
	dir := t.TempDir()
	g, err := Join(dir, "n1", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	c := other(t, dir, Serving)
	path := g.path(c.Process.Pid, stateEnd)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"", string(whole[:len(whole)-2]), "2" + string(whole[1:]), "x" + string(whole), string(whole) + string(whole)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		look(t, g, View{Parts: 2})
	}
	os.Remove(path)
	look(t, g, View{Parts: 2})
	// Names that are nobody's.
	_ = os.WriteFile(filepath.Join(dir, g.name+"x"+lockEnd), nil, 0o600)
	_ = os.WriteFile(filepath.Join(dir, "handover-other-1"+lockEnd), nil, 0o600)
	look(t, g, View{Parts: 2})
}

// TestNoFolder checks that a process without a folder is told so at once.
func TestNoFolder(t *testing.T) {
	if _, err := Join(filepath.Join(t.TempDir(), "none"), "n1", slog.New(slog.DiscardHandler)); err == nil {
		t.Error("joined in a folder that is not there")
	}
}

// TestWatch tells a view once for each change.
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
	c := other(t, dir, Starting)
	if got := <-views; got != (View{Parts: 2}) {
		t.Errorf("told %+v", got)
	}
	_ = c.Process.Kill()
	_ = c.Wait()
	if got := <-views; got != (View{Parts: 1}) {
		t.Errorf("told %+v", got)
	}
}

// TestStateCuts cuts and changes a state anywhere, and feeds garbage: nothing but the whole of it passes.
func TestStateCuts(t *testing.T) {
	dir := t.TempDir()
	g, err := Join(dir, "n1", slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	whole, err := os.ReadFile(g.path(g.me.PID, stateEnd))
	if err != nil {
		t.Fatal(err)
	}
	if m, err := parse(whole); err != nil || m != g.me {
		t.Fatalf("%q read as %+v, %v", whole, m, err)
	}
	rapid.Check(t, func(t *rapid.T) {
		if m, err := parse(whole[:rapid.IntRange(0, len(whole)-1).Draw(t, "cut")]); err == nil {
			t.Fatalf("a cut passed as %+v", m)
		}
		changed := append([]byte(nil), whole...)
		at := rapid.IntRange(0, len(whole)-1).Draw(t, "at")
		changed[at] ^= rapid.ByteRange(1, 255).Draw(t, "by")
		if m, err := parse(changed); err == nil && m != g.me {
			t.Fatalf("%q passed as %+v", changed, m)
		}
		_, _ = parse(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage"))
	})
}
