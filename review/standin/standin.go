//go:build review

// Package standin has what the review's cases share: the record, processes, free addresses, the discovery service, HTTP targets and
// HTTP clients. All of it follows the operators' protocol page.
package standin

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Case is one run of a case: its record, its temporary folder and the processes that it started.
type Case struct {
	Root    string // of the repository
	Dir     string // temporary
	Trouble bool   // false: without the disruption
	start   time.Time
	mu      sync.Mutex
	record  *os.File
	procs   []*Proc
}

// notRun ends the run as not able to run.
type notRun struct{ text string }

// Run calls play, ends all processes and exits with the result of play. A run that takes longer than limit could not run.
func Run(limit time.Duration, play func(c *Case) (broken bool)) {
	c := &Case{Root: os.Getenv("REVIEW_ROOT"), Trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if c.record, err = os.Create(os.Getenv("REVIEW_RECORD")); err != nil {
		fmt.Println("record:", err)
		os.Exit(NotRun)
	}
	if c.Dir, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Println("temporary folder:", err)
		os.Exit(NotRun)
	}
	result := make(chan int, 1)
	go func() {
		defer func() {
			switch r := recover().(type) {
			case nil:
			case notRun:
				c.Log("the case could not run: %s", r.text)
				result <- NotRun
			default:
				c.Log("the case could not run: %v\n%s", r, debug.Stack())
				result <- NotRun
			}
		}()
		if play(c) {
			result <- Broken
		} else {
			result <- Held
		}
	}()
	code := NotRun
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case code = <-result:
	case s := <-stop:
		c.Log("the case could not run: signal %v", s)
	case <-time.After(limit):
		c.Log("the case could not run: it was not done after %v", limit)
	}
	c.mu.Lock()
	procs := c.procs
	c.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	c.Log("exit %d (0: the rule held, 1: it was broken, 2: the case could not run)", code)
	if code == NotRun || os.Getenv("REVIEW_KEEP") != "" {
		c.Log("logs of the processes are kept in %s", c.Dir)
	} else {
		os.RemoveAll(c.Dir)
	}
	os.Exit(code)
}

// Log writes a line to the record and to standard output.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(c.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	fmt.Print(line)
	_, _ = c.record.WriteString(line)
}

// Fail ends the run: the case could not run.
func (c *Case) Fail(format string, args ...any) { panic(notRun{fmt.Sprintf(format, args...)}) }

// Must ends the run if there is an error.
func (c *Case) Must(err error) {
	if err != nil {
		c.Fail("%v", err)
	}
}

// WaitFor waits until ok returns true. It ends the run if that takes longer than limit.
func (c *Case) WaitFor(what string, limit time.Duration, ok func() bool) {
	for until := time.Now().Add(limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			c.Fail("%s: not within %v", what, limit)
		}
	}
}

// Path returns a path in the temporary folder.
func (c *Case) Path(name string) string { return filepath.Join(c.Dir, name) }

// Write writes a file in the temporary folder and returns its path.
func (c *Case) Write(name, text string) string {
	c.Must(os.MkdirAll(filepath.Dir(c.Path(name)), 0o700))
	c.Must(os.WriteFile(c.Path(name), []byte(text), 0o600))
	return c.Path(name)
}

// DeployCommand returns a command of the deploy file.
func (c *Case) DeployCommand(name string) string {
	text, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	c.Must(err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" = \""); ok {
			return strings.TrimSuffix(value, "\"")
		}
	}
	c.Fail("deploy/balancer.toml names no %s", name)
	return ""
}

// Proc is a process of the project.
type Proc struct {
	Name string
	c    *Case
	cmd  *exec.Cmd
	done chan struct{}
	log  string
}

// Start starts a command by the shell, from the root of the repository. Its output goes to a log in the temporary folder. Files are
// inherited from descriptor 3 on.
func (c *Case) Start(name, command string, env []string, files ...*os.File) *Proc {
	log, err := os.OpenFile(c.Path(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.Must(err)
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = c.Root, log, log, files
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "PROXY_") {
			cmd.Env = append(cmd.Env, v)
		}
	}
	cmd.Env = append(cmd.Env, env...)
	c.Must(cmd.Start())
	p := &Proc{Name: name, c: c, cmd: cmd, done: make(chan struct{}), log: log.Name()}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	c.Log("%s started: %s (pid %d)", name, command, cmd.Process.Pid)
	return p
}

// PID returns the process's id.
func (p *Proc) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Proc) Signal(s syscall.Signal) {
	p.c.Log("%s: signal %v", p.Name, s)
	_ = p.cmd.Process.Signal(s)
}

// Ended reports whether the process has ended.
func (p *Proc) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Kill ends the process with SIGKILL, and waits.
func (p *Proc) Kill() {
	if p.Ended() {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// LogLines returns the lines of the process's log that contain a text.
func (p *Proc) LogLines(text string) (found []string) {
	b, _ := os.ReadFile(p.log)
	for line := range strings.Lines(string(b)) {
		if strings.Contains(line, text) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

// FreeAddrs returns unused loopback addresses.
func (c *Case) FreeAddrs(n int) (addrs []string) {
	var open []net.Listener
	for port := 10_000 + os.Getpid()*131%19_000; len(addrs) < n; port++ {
		if port > 31_000 {
			c.Fail("no free port")
		}
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port))
		if err != nil {
			continue
		}
		if u, err := net.ListenPacket("udp", l.Addr().String()); err == nil {
			u.Close()
			addrs = append(addrs, l.Addr().String())
		}
		open = append(open, l)
	}
	for _, l := range open {
		l.Close()
	}
	return addrs
}
