package handover

import (
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"spindlehitch/internal/datapath/targetlist"
)

const (
	version = 1
	// pollInterval is how often a process reads the others' state: a few system calls on files of a few dozen bytes.
	pollInterval = 100 * time.Millisecond
	// maxFileBytes bounds what is read of a state file, and maxMembers how many other processes are observed.
	maxFileBytes = 256
	maxMembers   = 64
	// lockTimeout is how long a process that joins tries to lock its file: another may hold the lock for a moment, to see whether it is free.
	lockTimeout       = 500 * time.Millisecond
	lockRetryInterval = time.Millisecond
)

// Group is one process's membership in the group of an initiator's processes.
type Group struct {
	dir    string
	prefix string // of the names of the group's files
	log    *slog.Logger
	mu     sync.Mutex // guards self and the writes of its state file
	self   Member
	lock   *os.File // locked by flock while the process lives

	exchange      atomic.Pointer[idExchange] // nil: this process's request IDs are not shared
	latestTargets func() *targetlist.List    // nil: this process hands no targets over; set before exchange
}

// Join adds this process to the group. It holds its lock until Close or until the process ends. The folder must exist.
func Join(dir, name string, log *slog.Logger) (*Group, error) {
	return join(dir, name, os.Getpid(), log)
}

// join adds a process to the group under a process ID.
func join(dir, name string, pid int, log *slog.Logger) (*Group, error) {
	g := &Group{dir: dir, prefix: "handover-" + url.PathEscape(name) + "-", log: log,
		self: Member{StartedAt: time.Now().UnixNano(), PID: pid}}
	for until := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		f, err := lockFile(g.path(g.self.PID, lockSuffix), os.O_CREATE)
		if err == nil {
			g.lock = f
			return g, g.writeState()
		}
		if !errors.Is(err, errLocked) && !errors.Is(err, errReplaced) || !time.Now().Before(until) {
			return nil, fmt.Errorf("lock: %w", err)
		}
	}
}

// lockFile opens a lock file, with a flag for os.OpenFile, and locks it.
func lockFile(path string, flag int) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|flag, 0o600)
	if err != nil {
		return nil, err
	}
	switch err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); {
	case errors.Is(err, unix.EWOULDBLOCK):
		f.Close()
		return nil, errLocked
	case err != nil:
		f.Close()
		return nil, err
	}
	if !isFileAt(f, path) {
		f.Close()
		return nil, errReplaced
	}
	return f, nil
}

var (
	errLocked = errors.New("another process holds it")
	// errReplaced means that the file was removed, and maybe another one made, between its opening and its locking.
	errReplaced = errors.New("removed meanwhile")
)

// isFileAt reports whether an open file is the one at a path.
func isFileAt(f *os.File, path string) bool {
	opened, err := f.Stat()
	if err != nil {
		return false
	}
	current, err := os.Stat(path)
	return err == nil && os.SameFile(opened, current)
}

const (
	lockSuffix  = ".lock"
	stateSuffix = ".state"
)

func (g *Group) path(pid int, suffix string) string {
	return filepath.Join(g.dir, g.prefix+strconv.Itoa(pid)+suffix)
}

// SetPhase publishes this process's phase to the others.
func (g *Group) SetPhase(p Phase) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p <= g.self.Phase {
		return nil // phases only advance
	}
	g.self.Phase = p
	return g.writeState()
}

// writeState replaces the state file atomically, so that no process reads a partial one.
func (g *Group) writeState() error {
	body := fmt.Sprintf("%d %d %d %d", version, g.self.StartedAt, g.self.PID, g.self.Phase)
	next := g.path(g.self.PID, ".next")
	if err := os.WriteFile(next, fmt.Appendf(nil, "%s %08x\n", body, crc32.ChecksumIEEE([]byte(body))), 0o600); err != nil {
		return err
	}
	return os.Rename(next, g.path(g.self.PID, stateSuffix))
}

// parseState parses a state file. It rejects one of another version, and one that is truncated or altered.
func parseState(b []byte) (m Member, err error) {
	line, complete := strings.CutSuffix(string(b), "\n")
	at := strings.LastIndexByte(line, ' ')
	if !complete || at < 0 || line[at+1:] != fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(line[:at]))) {
		return m, errors.New("truncated or corrupt")
	}
	v := 0
	if n, err := fmt.Sscanf(line[:at], "%d %d %d %d", &v, &m.StartedAt, &m.PID, &m.Phase); v != version || n != 4 || err != nil {
		return Member{}, fmt.Errorf("unknown version %d", v)
	}
	return m, nil
}

// Observe reads the states of the other processes and returns the resulting view.
func (g *Group) Observe() (View, error) {
	others, err := g.others()
	if err != nil {
		return View{}, err
	}
	return g.viewWith(others), nil
}

// viewWith returns the view of this process with these other live processes.
func (g *Group) viewWith(others []Member) View {
	g.mu.Lock()
	defer g.mu.Unlock()
	return viewOf(g.self, others)
}

// others reads the states of the other live processes.
func (g *Group) others() ([]Member, error) {
	entries, err := os.ReadDir(g.dir)
	if err != nil {
		return nil, err
	}
	var others []Member
	for _, e := range entries {
		id, isOurs := strings.CutPrefix(e.Name(), g.prefix)
		id, isLock := strings.CutSuffix(id, lockSuffix)
		pid, err := strconv.Atoi(id)
		if !isOurs || !isLock || err != nil || pid == g.self.PID || len(others) == maxMembers {
			continue
		}
		if g.removeIfEnded(pid) {
			continue
		}
		m := Member{PID: pid}
		if b, err := readLimited(g.path(pid, stateSuffix)); err == nil {
			if state, err := parseState(b); err == nil && state.PID == pid {
				m = state
			}
		}
		others = append(others, m)
	}
	return others, nil
}

// removeIfEnded reports whether a process has ended, which is so if its lock is free, and then removes its files.
func (g *Group) removeIfEnded(pid int) bool {
	f, err := lockFile(g.path(pid, lockSuffix), 0)
	if err != nil {
		return errors.Is(err, os.ErrNotExist)
	}
	defer f.Close()
	for _, suffix := range []string{stateSuffix, ".next", journalSuffix, journalSuffix + ".next", targetsSuffix, targetsSuffix + ".next", lockSuffix} {
		os.Remove(g.path(pid, suffix))
	}
	return true
}

// readLimited reads up to maxFileBytes of a file.
func readLimited(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b := make([]byte, maxFileBytes)
	n, err := f.Read(b)
	return b[:n], err
}

// Watch calls onChange with each view that differs from the one before, until the context ends. The view before the first is
// that of a single process.
func (g *Group) Watch(ctx context.Context, onChange func(View)) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	last, failureLogged := View{Processes: 1}, false // only the first failure is logged
	for {
		others, err := g.others()
		v := g.viewWith(others)
		if x := g.exchange.Load(); x != nil && err == nil {
			x.sync(others)
		}
		switch {
		case err != nil:
			if !failureLogged {
				failureLogged = true
				g.log.Warn("handover not seen", slog.String("reason", "HANDOVER_FAILED"), slog.Any("error", err))
			}
		case v != last:
			last = v
			onChange(v)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Close removes this process from the group.
func (g *Group) Close() {
	if x := g.exchange.Load(); x != nil {
		x.close()
		os.Remove(g.path(g.self.PID, journalSuffix))
	}
	os.Remove(g.path(g.self.PID, targetsSuffix))
	os.Remove(g.path(g.self.PID, stateSuffix))
	os.Remove(g.path(g.self.PID, lockSuffix))
	g.lock.Close()
}
