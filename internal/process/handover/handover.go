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
	"time"

	"golang.org/x/sys/unix"
)

const (
	version = 1
	// lookEvery is how often a process looks at the others. Theirs are a few calls on files of some dozen bytes.
	lookEvery = 100 * time.Millisecond
	// mostFile bounds what is read of a file, and mostMembers how many are looked at.
	mostFile    = 256
	mostMembers = 64
)

// Group is one process's part in the processes of an initiator.
type Group struct {
	dir  string
	name string
	log  *slog.Logger
	mu   sync.Mutex
	me   Member
	lock *os.File
}

// Join has this process take part: its lock is held until Close, or its end. The folder has to be there.
func Join(dir, name string, log *slog.Logger) (*Group, error) {
	g := &Group{dir: dir, name: "handover-" + url.PathEscape(name) + "-", log: log,
		me: Member{Started: time.Now().UnixNano(), PID: os.Getpid()}}
	f, err := os.OpenFile(g.path(g.me.PID, lockEnd), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("lock: %w", err)
	}
	g.lock = f
	return g, g.write()
}

const (
	lockEnd  = ".lock"
	stateEnd = ".state"
)

func (g *Group) path(pid int, end string) string {
	return filepath.Join(g.dir, g.name+strconv.Itoa(pid)+end)
}

// Enter tells the others that this process has come to a phase.
func (g *Group) Enter(p Phase) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p <= g.me.Phase {
		return nil // it does not go back
	}
	g.me.Phase = p
	return g.write()
}

// write replaces the state's file as a whole, so that nobody reads half of one.
func (g *Group) write() error {
	body := fmt.Sprintf("%d %d %d %d", version, g.me.Started, g.me.PID, g.me.Phase)
	next := g.path(g.me.PID, ".next")
	if err := os.WriteFile(next, fmt.Appendf(nil, "%s %08x\n", body, crc32.ChecksumIEEE([]byte(body))), 0o600); err != nil {
		return err
	}
	return os.Rename(next, g.path(g.me.PID, stateEnd))
}

// parse reads a state; what is of another version, cut or changed is none.
func parse(b []byte) (m Member, err error) {
	line, whole := strings.CutSuffix(string(b), "\n")
	at := strings.LastIndexByte(line, ' ')
	if !whole || at < 0 || line[at+1:] != fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(line[:at]))) {
		return m, errors.New("cut or garbled")
	}
	v := 0
	if n, err := fmt.Sscanf(line[:at], "%d %d %d %d", &v, &m.Started, &m.PID, &m.Phase); v != version || n != 4 || err != nil {
		return Member{}, fmt.Errorf("version %d is not known here", v)
	}
	return m, nil
}

// Look tells what follows from the others as they are now.
func (g *Group) Look() (View, error) {
	g.mu.Lock()
	me := g.me
	g.mu.Unlock()
	entries, err := os.ReadDir(g.dir)
	if err != nil {
		return View{}, err
	}
	var others []Member
	for _, e := range entries {
		id, ours := strings.CutPrefix(e.Name(), g.name)
		id, isLock := strings.CutSuffix(id, lockEnd)
		pid, err := strconv.Atoi(id)
		if !ours || !isLock || err != nil || pid == me.PID || len(others) == mostMembers {
			continue
		}
		if g.ended(pid) {
			continue
		}
		m := Member{PID: pid}
		if b, err := readSome(g.path(pid, stateEnd)); err == nil {
			if told, err := parse(b); err == nil && told.PID == pid {
				m = told
			}
		}
		others = append(others, m)
	}
	return decide(me, others), nil
}

// ended tells whether nobody holds the lock of that process, and takes its files away then.
func (g *Group) ended(pid int) bool {
	f, err := os.OpenFile(g.path(pid, lockEnd), os.O_RDWR, 0)
	if err != nil {
		return errors.Is(err, os.ErrNotExist)
	}
	defer f.Close()
	if unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil {
		return false
	}
	for _, end := range []string{stateEnd, ".next", lockEnd} {
		os.Remove(g.path(pid, end))
	}
	return true
}

func readSome(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b := make([]byte, mostFile)
	n, err := f.Read(b)
	return b[:n], err
}

// Watch tells each view that differs from the one before, the first from a single process's, until the context ends.
func (g *Group) Watch(ctx context.Context, tell func(View)) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	last, deaf := View{Parts: 1}, false // deaf: a look has failed, and that was logged
	for {
		v, err := g.Look()
		switch {
		case err != nil:
			if !deaf {
				deaf = true
				g.log.Warn("handover not seen", slog.String("reason", "HANDOVER_FAILED"), slog.Any("error", err))
			}
		case v != last:
			last = v
			tell(v)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Close takes this process out of the group.
func (g *Group) Close() {
	os.Remove(g.path(g.me.PID, stateEnd))
	os.Remove(g.path(g.me.PID, lockEnd))
	g.lock.Close()
}
