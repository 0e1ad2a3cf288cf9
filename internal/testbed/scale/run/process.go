package run

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// proc is a process of a run. It is killed with the run, even if the run itself is killed. callMu serializes calls on in and out; ended is closed by a
// goroutine of start when the process has exited.
type proc struct {
	name   string
	path   string
	args   []string
	env    []string
	dir    string
	cmd    *exec.Cmd
	in     io.WriteCloser // pipes of a host
	out    *bufio.Reader
	callMu sync.Mutex
	ended  chan struct{}
}

// spawn returns a channel of functions to run on a thread that lives as long as this process. Commands must be started there, because Pdeathsig kills a child when the
// thread that started it exits.
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

// start starts the process, or starts it again after it has ended. Its output is appended to NAME.log; with pipes, standard input and output are used by call instead.
func (p *proc) start(pipes bool) error {
	log, err := os.OpenFile(p.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = p.dir, log, log
	p.cmd.Env = append([]string{"TMPDIR=" + p.dir, "PATH=" + os.Getenv("PATH")}, p.env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if pipes {
		p.cmd.Stdout = nil
		if p.in, err = p.cmd.StdinPipe(); err != nil {
			return err
		}
		out, err := p.cmd.StdoutPipe()
		if err != nil {
			return err
		}
		p.out = bufio.NewReaderSize(out, 1<<20)
	}
	started := make(chan error)
	spawn() <- func() { started <- p.cmd.Start() }
	if err := <-started; err != nil {
		return fmt.Errorf("%s: %w", p.name, err)
	}
	ended, cmd := make(chan struct{}), p.cmd
	p.ended = ended
	go func() {
		if pipes { // Cmd.Wait would close the pipe before the rest was read
			_, _ = cmd.Process.Wait()
		} else {
			_ = cmd.Wait()
		}
		close(ended)
	}()
	return nil
}

func (p *proc) log() string { return filepath.Join(p.dir, p.name+".log") }

func (p *proc) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return p.cmd != nil
	}
}

func (p *proc) signal(s syscall.Signal) {
	if p.alive() {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *proc) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// stop sends SIGTERM, and kills the process if it has not exited in time.
func (p *proc) stop(within time.Duration) {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(within):
		p.kill()
	}
}

// call sends an order to a host and decodes its answer.
func (p *proc) call(order, answer any) error {
	p.callMu.Lock()
	defer p.callMu.Unlock()
	text, err := jsonFormat.Marshal(order)
	if err == nil {
		_, err = p.in.Write(append(text, '\n'))
	}
	var line []byte
	if err == nil {
		line, err = p.out.ReadBytes('\n')
	}
	var answerError struct{ Error string }
	if err == nil {
		err = jsonFormat.Unmarshal(line, &answerError)
	}
	if err == nil && answerError.Error != "" {
		err = errors.New(answerError.Error)
	}
	if err == nil && answer != nil {
		err = jsonFormat.Unmarshal(line, answer)
	}
	if err != nil {
		return fmt.Errorf("%s: %w (see %s)", p.name, err, p.log())
	}
	return nil
}

// procStats is the resource use of a process so far, from /proc.
type procStats struct {
	CPU     time.Duration // user and system
	RSS     int64         // bytes, current
	Peak    int64         // bytes, maximum
	In, Out int64         // bytes read and written, files included
	FDs     int
	Writes  int64 // bytes written to disk
}

const tick = 10 * time.Millisecond // USER_HZ

// stats returns the resource use, which is zero for a process that has ended.
func (p *proc) stats() (u procStats) {
	if !p.alive() {
		return u
	}
	return readProcStats(p.cmd.Process.Pid)
}

func readProcStats(pid int) (u procStats) {
	at := fmt.Sprintf("/proc/%d/", pid)
	b, _ := os.ReadFile(at + "stat")
	if _, after, found := strings.Cut(string(b), ") "); found {
		if f := strings.Fields(after); len(f) > 12 {
			user, _ := strconv.Atoi(f[11])
			system, _ := strconv.Atoi(f[12])
			u.CPU = time.Duration(user+system) * tick
		}
	}
	for name, into := range map[string]map[string]*int64{"status": {"VmRSS:": &u.RSS, "VmHWM:": &u.Peak}, "io": {"rchar:": &u.In, "wchar:": &u.Out, "write_bytes:": &u.Writes}} {
		b, _ := os.ReadFile(at + name)
		for line := range strings.Lines(string(b)) {
			f := strings.Fields(line)
			if len(f) < 2 || into[f[0]] == nil {
				continue
			}
			n, _ := strconv.ParseInt(f[1], 10, 64)
			if len(f) > 2 && f[2] == "kB" {
				n <<= 10
			}
			*into[f[0]] = n
		}
	}
	if files, err := os.ReadDir(at + "fd"); err == nil {
		u.FDs = len(files)
	}
	return u
}

// halfMemory returns half of the machine's memory in bytes.
func halfMemory() (int64, error) {
	b, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	var kB int64
	if _, err := fmt.Sscanf(string(b), "MemTotal: %d kB", &kB); err != nil {
		return 0, fmt.Errorf("/proc/meminfo: %w", err)
	}
	return kB << 10 / 2, nil
}

// dirSize returns the bytes of all files below a directory.
func dirSize(dir string) (n int64) {
	_ = filepath.WalkDir(dir, func(_ string, e os.DirEntry, err error) error {
		if err == nil && !e.IsDir() {
			if i, err := e.Info(); err == nil {
				n += i.Size()
			}
		}
		return nil
	})
	return n
}
