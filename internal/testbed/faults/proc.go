package faults

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Rig holds the processes, links and files of one test.
type Rig struct {
	T   testing.TB
	Dir string // temporary folder of the test
	bin string
}

var built struct {
	once sync.Once
	dir  string
	err  error
}

// Main is for TestMain of a package with fault tests. It runs the tests and removes the built program.
func Main(m *testing.M) {
	code := m.Run()
	if built.dir != "" {
		os.RemoveAll(built.dir)
	}
	os.Exit(code)
}

// New returns a rig for one test. The program is built once for each test binary, with the build tag faults: only with
// that tag can a process be started with a clock that runs at a different rate.
func New(t testing.TB) *Rig {
	t.Helper()
	built.once.Do(func() {
		if built.dir, built.err = os.MkdirTemp("", "spindlehitch-faults"); built.err != nil {
			return
		}
		out, err := exec.Command("go", "build", "-tags", "faults", "-o", built.dir, "spindlehitch/cmd/spindlehitch").CombinedOutput()
		if err != nil {
			built.err = fmt.Errorf("%w: %s", err, out)
		}
	})
	if built.err != nil {
		t.Fatal(built.err)
	}
	return &Rig{T: t, Dir: t.TempDir(), bin: filepath.Join(built.dir, "spindlehitch")}
}

// Proc is one process of the program.
type Proc struct {
	Name         string
	rig          *Rig
	env          []string
	args         []string
	extraFiles   []*os.File // inherited from descriptor 3 on
	failpointDir string     // folder of the files that arm its failpoints
	maxFiles     int        // limit on its open descriptors; 0: the limit of this process
	out          *tail
	cmd          *exec.Cmd
	done         chan struct{} // closed when the process has ended, by the goroutine that waits for it; each start makes a new one
	err          error
}

// maxOutputBytes is how much of a process's output is kept.
const maxOutputBytes = 16 << 20

// tail keeps the last maxOutputBytes of a process's output. mu guards b.
type tail struct {
	mu sync.Mutex
	b  []byte
}

func (o *tail) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.b = append(o.b, p...)
	if over := len(o.b) - maxOutputBytes; over > 0 {
		o.b = bytes.Clone(o.b[over:])
	}
	return len(p), nil
}

func (o *tail) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.b)
}

// spawn returns a channel of functions that are run on a thread which lives as long as this process. Children are
// killed by the kernel when the thread that started them ends (Pdeathsig), so a killed test binary leaves none behind.
var spawn = sync.OnceValue(func() chan<- func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

// Start starts the program with these arguments. env is added to a minimal environment.
func (r *Rig) Start(name string, env []string, args ...string) *Proc {
	return r.StartWith(name, nil, 0, env, args...)
}

// StartWith is Start with inherited open files, from descriptor 3 on, and a limit on open descriptors (0: the limit of
// this process).
func (r *Rig) StartWith(name string, extraFiles []*os.File, maxFiles int, env []string, args ...string) *Proc {
	r.T.Helper()
	p := &Proc{Name: name, rig: r, env: env, args: args, extraFiles: extraFiles, maxFiles: maxFiles, failpointDir: filepath.Join(r.Dir, "aims", name), out: &tail{}}
	if err := os.MkdirAll(p.failpointDir, 0o700); err != nil {
		r.T.Fatal(err)
	}
	p.start()
	r.T.Cleanup(func() {
		p.Kill()
		if r.T.Failed() {
			lines := strings.Split(p.Log(), "\n")
			r.T.Logf("last output of %s:\n%s", name, strings.Join(lines[max(0, len(lines)-25):], "\n"))
		}
	})
	return p
}

func (p *Proc) start() {
	p.rig.T.Helper()
	p.cmd = exec.Command(p.rig.bin, p.args...)
	if p.maxFiles > 0 {
		p.cmd = exec.Command("sh", append([]string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(p.maxFiles), p.rig.bin}, p.args...)...)
	}
	p.cmd.Env = append([]string{"TMPDIR=" + p.rig.Dir, "PATH=" + os.Getenv("PATH"), "SPINDLEHITCH_FAILPOINTS=" + p.failpointDir}, p.env...)
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.ExtraFiles = p.out, p.out, p.extraFiles
	p.cmd.Dir = p.rig.Dir
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	spawn() <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		p.rig.T.Fatal(err)
	}
	done := make(chan struct{})
	p.done = done
	go func() {
		p.err = p.cmd.Wait()
		close(done)
	}()
}

// Run runs the program until it exits and returns its output, exit code and duration. The test fails if it takes over a
// minute.
func (r *Rig) Run(args ...string) (out string, code int, took time.Duration) {
	r.T.Helper()
	began := time.Now()
	p := r.Start("command", nil, args...)
	select {
	case <-p.done:
	case <-time.After(time.Minute):
		r.T.Fatalf("%v did not end within a minute", args)
	}
	return p.Log(), p.cmd.ProcessState.ExitCode(), time.Since(began)
}

// Signal sends a signal to the process if it has not ended.
func (p *Proc) Signal(s syscall.Signal) {
	if p.Alive() {
		_ = p.cmd.Process.Signal(s)
	}
}

// Alive reports whether the process has not ended yet.
func (p *Proc) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// ExitErr waits until the process has ended and returns how: nil if it exited without an error.
func (p *Proc) ExitErr() error {
	<-p.done
	return p.err
}

// ArmFailpoint makes the process stop, die, hang or wait for ReleaseFailpoint (action stop, kill, hang or wait) the
// next time that it reaches the failpoint of that name (internal/process/failpoint).
func (p *Proc) ArmFailpoint(failpoint, action string) {
	p.rig.T.Helper()
	os.Remove(filepath.Join(p.failpointDir, failpoint+".hit"))
	// Renamed into place: the process must not read a partly written file.
	tempPath := filepath.Join(p.failpointDir, "aiming")
	if err := os.WriteFile(tempPath, []byte(action), 0o600); err != nil {
		p.rig.T.Fatal(err)
	}
	if err := os.Rename(tempPath, filepath.Join(p.failpointDir, failpoint)); err != nil {
		p.rig.T.Fatal(err)
	}
}

// FailpointHit reports whether the process has reached a failpoint that was armed.
func (p *Proc) FailpointHit(failpoint string) bool {
	_, err := os.Stat(filepath.Join(p.failpointDir, failpoint+".hit"))
	return err == nil
}

// ReleaseFailpoint lets a goroutine that waits at a failpoint continue.
func (p *Proc) ReleaseFailpoint(failpoint string) {
	os.Remove(filepath.Join(p.failpointDir, failpoint+".hit"))
}

// DisarmFailpoint disarms a failpoint and reports whether the process had not reached it.
func (p *Proc) DisarmFailpoint(failpoint string) bool {
	return os.Remove(filepath.Join(p.failpointDir, failpoint)) == nil
}

// Pause stops the process with SIGSTOP and returns once the kernel shows it as stopped, or after a second.
func (p *Proc) Pause() {
	p.Signal(syscall.SIGSTOP)
	for end := time.Now().Add(time.Second); p.Alive() && !p.Stopped() && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
}

// Stopped reports whether all threads of the process are stopped by a signal.
func (p *Proc) Stopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	for _, path := range threads {
		b, err := os.ReadFile(path)
		if errors.Is(err, fs.ErrNotExist) {
			continue // it has ended
		}
		if _, state, found := strings.Cut(string(b), ") "); err != nil || !found || state[0] != 'T' {
			return false
		}
	}
	return err == nil && len(threads) > 0
}

// Resume continues a stopped process.
func (p *Proc) Resume() { p.Signal(syscall.SIGCONT) }

// Kill sends SIGKILL and waits until the process has ended.
func (p *Proc) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop sends SIGTERM and waits for the process to exit. It kills the process after within, and reports whether the
// process exited by itself.
func (p *Proc) Stop(timeout time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		p.Kill()
		return false
	}
}

// Restart kills the process if it still runs, and starts it again with the same arguments.
func (p *Proc) Restart() {
	p.rig.T.Helper()
	p.Kill()
	p.start()
}

// Log returns the last maxOutputBytes of the process's output, over all its starts.
func (p *Proc) Log() string { return p.out.String() }

// CPU returns the processor time that the process has used so far.
func (p *Proc) CPU() time.Duration {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	_, after, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(after)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond // USER_HZ is 100 ticks a second
}

// RunDelay returns for how long threads of the process were ready to run and had no processor, so far.
func (p *Proc) RunDelay() (sum time.Duration) {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	for _, path := range threads {
		var ran, waited int64
		text, _ := os.ReadFile(path)
		_, _ = fmt.Sscan(string(text), &ran, &waited)
		sum += time.Duration(waited)
	}
	return sum
}

// PeakMemoryKB returns the most memory that the process has had resident, in KB, all of it: its heap, stacks, and the pages of its program. It is
// 0 once the process has ended.
func (p *Proc) PeakMemoryKB() (kb int) {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	_, line, _ := strings.Cut(string(status), "VmHWM:")
	_, _ = fmt.Sscan(line, &kb)
	return kb
}

// FillDisk makes every write fail that would grow a file past the size of the largest file now below dir, as on a full
// disk.
func (p *Proc) FillDisk(dir string) error {
	var largest int64
	err := filepath.WalkDir(dir, func(_ string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		info, err := e.Info()
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		}
		if err == nil {
			largest = max(largest, info.Size())
		}
		return err
	})
	if err != nil {
		return err
	}
	return p.limitFileSize(uint64(largest))
}

// FreeDisk undoes FillDisk.
func (p *Proc) FreeDisk() error { return p.limitFileSize(unix.RLIM_INFINITY) }

func (p *Proc) limitFileSize(maxBytes uint64) error {
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: maxBytes, Max: unix.RLIM_INFINITY}, nil)
}

// WaitFor waits until done returns true and returns how long that took. The test fails after a minute, which leaves
// room for a busy machine.
func (r *Rig) WaitFor(what string, done func() bool) time.Duration {
	r.T.Helper()
	began := time.Now()
	for end := began.Add(time.Minute); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			r.T.Fatalf("timed out after a minute waiting for: %s", what)
		}
	}
	return time.Since(began)
}

// WriteFile writes a file in the test's folder and returns its path.
func (r *Rig) WriteFile(name, text string) string {
	r.T.Helper()
	path := filepath.Join(r.Dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.T.Fatal(err)
	}
	return path
}
