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

// Rig is the processes, relays and folders of one test.
type Rig struct {
	T   testing.TB
	Dir string // a folder of the test's own
	bin string
}

var built struct {
	once sync.Once
	dir  string
	err  error
}

// Main is for TestMain of a package with fault runs: it takes the built program away afterwards.
func Main(m *testing.M) {
	code := m.Run()
	if built.dir != "" {
		os.RemoveAll(built.dir)
	}
	os.Exit(code)
}

// New returns a rig for one test. The program is built once for each test binary, with the tag faults, which alone lets a
// process be told that its clock runs unlike the others'.
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
	extraFiles   []*os.File // from descriptor 3 on
	failpointDir string     // the folder of its failpoints
	maxFiles     int        // how many descriptors the machine grants it; 0: as many as this process
	out          *tail
	cmd          *exec.Cmd
	done         chan struct{} // closed once it has ended
	err          error
}

// tail keeps what a process wrote, its last MiB.
type tail struct {
	mu sync.Mutex
	b  []byte
}

func (o *tail) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.b = append(o.b, p...)
	if over := len(o.b) - 1<<20; over > 0 {
		o.b = bytes.Clone(o.b[over:])
	}
	return len(p), nil
}

func (o *tail) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return string(o.b)
}

// spawn starts commands from a thread that lives as long as this process: children are told to die with the thread that
// started them, so that none is left behind by a test binary that is killed.
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

// Start starts the program with these arguments; env is added to a short environment of the rig's own.
func (r *Rig) Start(name string, env []string, args ...string) *Proc {
	return r.StartWith(name, nil, 0, env, args...)
}

// StartWith is Start with open files for the process, from descriptor 3 on, and with a bound on its descriptors; 0: none of its own.
func (r *Rig) StartWith(name string, pass []*os.File, files int, env []string, args ...string) *Proc {
	r.T.Helper()
	p := &Proc{Name: name, rig: r, env: env, args: args, extraFiles: pass, maxFiles: files, failpointDir: filepath.Join(r.Dir, "aims", name), out: &tail{}}
	if err := os.MkdirAll(p.failpointDir, 0o700); err != nil {
		r.T.Fatal(err)
	}
	p.start()
	r.T.Cleanup(func() {
		p.Kill()
		if r.T.Failed() {
			lines := strings.Split(p.Log(), "\n")
			r.T.Logf("%s wrote last:\n%s", name, strings.Join(lines[max(0, len(lines)-25):], "\n"))
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

// Run runs the program to its end, within a minute, and returns what it wrote and its exit code.
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

func (p *Proc) signal(s syscall.Signal) {
	if p.Alive() {
		_ = p.cmd.Process.Signal(s)
	}
}

// Alive tells whether it has not ended yet.
func (p *Proc) Alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Aim has the process stop, die, hang or wait for Release (stop, kill, hang, wait) the next time that it comes to the step of that name
// (internal/process/failpoint).
func (p *Proc) ArmFailpoint(step, what string) {
	p.rig.T.Helper()
	os.Remove(filepath.Join(p.failpointDir, step+".hit"))
	// Written elsewhere first: the process must not read half of it.
	from := filepath.Join(p.failpointDir, "aiming")
	if err := os.WriteFile(from, []byte(what), 0o600); err != nil {
		p.rig.T.Fatal(err)
	}
	if err := os.Rename(from, filepath.Join(p.failpointDir, step)); err != nil {
		p.rig.T.Fatal(err)
	}
}

// Struck tells whether the process has come to a step that was aimed at.
func (p *Proc) FailpointHit(step string) bool {
	_, err := os.Stat(filepath.Join(p.failpointDir, step+".hit"))
	return err == nil
}

// Release lets a caller go on that waits at a step.
func (p *Proc) ReleaseFailpoint(step string) { os.Remove(filepath.Join(p.failpointDir, step+".hit")) }

// Unaim takes an aim back, and tells whether the process has not come to the step.
func (p *Proc) DisarmFailpoint(step string) bool {
	return os.Remove(filepath.Join(p.failpointDir, step)) == nil
}

// Pause stops it where it stands, and returns once the kernel has.
func (p *Proc) Pause() {
	p.signal(syscall.SIGSTOP)
	for end := time.Now().Add(time.Second); p.Alive() && !p.Stopped() && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
}

// Stopped tells whether it stands still.
func (p *Proc) Stopped() bool {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	_, state, found := strings.Cut(string(b), ") ")
	return err == nil && found && state[0] == 'T'
}

// Resume lets it go on.
func (p *Proc) Resume() { p.signal(syscall.SIGCONT) }

// Kill ends it by SIGKILL and waits until it is gone.
func (p *Proc) Kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Stop ends it in order, by SIGTERM, and kills it if that takes longer than within. It tells whether it ended by itself.
func (p *Proc) Stop(within time.Duration) bool {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return true
	case <-time.After(within):
		p.Kill()
		return false
	}
}

// Restart starts it again with the same arguments, after it has ended.
func (p *Proc) Restart() {
	p.rig.T.Helper()
	p.Kill()
	p.start()
}

// Log is what it wrote, its last MiB, over all its starts.
func (p *Proc) Log() string { return p.out.String() }

// CPU is the processor time that it has used so far.
func (p *Proc) CPU() time.Duration {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	_, after, _ := strings.Cut(string(b), ") ")
	fields := strings.Fields(after)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond // ticks of a hundredth: USER_HZ
}

// FillDisk has every write past the size that the files below dir have now fail, as on a disk that is full.
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

// FreeDisk ends FillDisk.
func (p *Proc) FreeDisk() error { return p.limitFileSize(unix.RLIM_INFINITY) }

func (p *Proc) limitFileSize(most uint64) error {
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: most, Max: unix.RLIM_INFINITY}, nil)
}

// Until waits until done, for as long as a busy machine may take.
func (r *Rig) WaitFor(what string, done func() bool) time.Duration {
	r.T.Helper()
	began := time.Now()
	for end := began.Add(time.Minute); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			r.T.Fatalf("not within a minute: %s", what)
		}
	}
	return time.Since(began)
}

// File writes a file of the test's and returns its path.
func (r *Rig) WriteFile(name, text string) string {
	r.T.Helper()
	path := filepath.Join(r.Dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.T.Fatal(err)
	}
	return path
}
