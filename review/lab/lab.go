//go:build review

// Package lab has the stand-ins of the cases 6 to 10 of the review: processes of the project, targets, discovery, clients and links
// between agents. All of them are on loopback addresses and behave as the operators' pages say.
package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Lab is one run of a case.
type Lab struct {
	Trouble bool   // the disruption takes place
	Dir     string // temporary, removed at the end
	began   time.Time

	mu     sync.Mutex // guards record and procs
	record *os.File
	procs  []*Proc
}

// New begins a run. The first argument of the program names the case's folder, in which record.txt is written.
func New() *Lab {
	folder := "."
	if len(os.Args) > 1 {
		folder = os.Args[1]
	}
	l := &Lab{Trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	var err error
	if l.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if l.Dir, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	l.Note("begin, disruption: %v", l.Trouble)
	return l
}

// Note writes a line to record.txt, with $DIR for the temporary folder.
func (l *Lab) Note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	if l.Dir != "" {
		text = strings.ReplaceAll(text, l.Dir, "$DIR")
	}
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.began).Seconds(), text)
}

// End ends all processes and the program: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func (l *Lab) End(code int, format string, args ...any) {
	l.Note(format, args...)
	l.Note("exit %d", code)
	fmt.Printf(format+"\n", args...)
	l.mu.Lock()
	procs := l.procs
	l.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(l.Dir)
	} else {
		fmt.Println("kept:", l.Dir)
	}
	os.Exit(code)
}

// Must ends the run if the case could not run.
func (l *Lab) Must(err error, what string) {
	if err != nil {
		l.End(2, "could not run: %s: %v", what, err)
	}
}

// Timeout ends the run as one that could not run after d.
func (l *Lab) Timeout(d time.Duration) {
	time.AfterFunc(d, func() { l.End(2, "could not run: not over after %v", d) })
}

// FreeAddr returns an address at which nobody listens.
func (l *Lab) FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	l.Must(err, "free port")
	defer ln.Close()
	return ln.Addr().String()
}

// File writes a file of the run and returns its path.
func (l *Lab) File(name, text string) string {
	path := filepath.Join(l.Dir, name)
	l.Must(os.WriteFile(path, []byte(text), 0o600), name)
	return path
}

// Proc is a process that the run started.
type Proc struct {
	Name string
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// Start starts a command of the deploy file, as the operators do, by /bin/sh from the repository's root. Its output goes to a log.
func (l *Lab) Start(name, command string, env ...string) *Proc {
	return l.StartWith(name, command, nil, env...)
}

// StartWith is Start with files that the process inherits, from descriptor 3 on.
func (l *Lab) StartWith(name, command string, files []*os.File, env ...string) *Proc {
	p := &Proc{Name: name, log: filepath.Join(l.Dir, name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	l.Must(err, "log")
	defer out.Close()
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr, p.cmd.ExtraFiles = out, out, files
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	l.Must(p.cmd.Start(), command)
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	l.Note("started %s, pid %d: %s %s", name, p.cmd.Process.Pid, strings.Join(env, " "), command)
	go func() {
		_ = p.cmd.Wait()
		l.Note("ended %s: %s", name, p.cmd.ProcessState)
		close(p.done)
	}()
	return p
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process, whatever its state, and waits for its end.
func (p *Proc) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Done is closed when the process has ended.
func (p *Proc) Done() <-chan struct{} { return p.done }

// Log returns what the process has written.
func (p *Proc) Log() string {
	b, _ := os.ReadFile(p.log)
	return string(b)
}

// WaitLog waits until the process has written a text so many times.
func (p *Proc) WaitLog(text string, times int, within time.Duration) error {
	return Wait(within, func() bool { return strings.Count(p.Log(), text) >= times })
}

// Wait waits until a condition holds.
func Wait(within time.Duration, holds func() bool) error {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return errors.New("it did not come to that in time")
}

// Run runs a command to its end, within 20 s, and returns its output.
func (l *Lab) Run(command string, env ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c := exec.CommandContext(ctx, "/bin/sh", "-c", command)
	c.Env = append(os.Environ(), env...)
	b, err := c.CombinedOutput()
	l.Note("ran %s: %v: %s", command, err, strings.TrimSpace(string(b)))
	return string(b), err
}

// Plan is a plan of the settings.
func Plan(name string) map[string]any {
	return map[string]any{"name": name, "parts": 3.0, "pays": 0.9, "reservation": 60.0, "tolerance": 0.0, "usualRate": 60.0, "ceilingRate": 0.0, "limitBurst": 0.0}
}

// Settings are those of a small deployment, in the form of the operators' page.
func Settings(plans ...string) map[string]any {
	class := func(name, effect string, worth float64, aim, deadline int) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": "all", "worth": worth, "lateWorth": 0.1, "promiseUs": aim * 1000, "deadlineUs": deadline * 1000,
			"streaming": false, "windowUs": 5_000_000}
	}
	contracts := []any{}
	for _, p := range plans {
		contracts = append(contracts, Plan(p))
	}
	return map[string]any{
		"classes":   []any{class("position-read", "pure", 3, 150, 750), class("event-write", "side_effect", 2, 200, 1200), class("history-export", "pure", 1, 750, 2500)},
		"clients":   map[string]any{"marksRetry": false},
		"contracts": contracts, "domainType": "stores",
		"extra": map[string]any{"coldBears": 41.0, "countsOthers": false, "fairWorth": 0.4, "idleWorth": 0.05, "largest": 8, "meanUnits": 2.13, "meteringUs": 500000,
			"nShards": 4, "writes": []bool{false, true, false}},
		"goal":  map[string]any{"whole": 0.75, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.15},
		"index": 0, "peersTotal": 3, "kinds": []string{"node-std", "node-slow"},
		"limits": map[string]any{"cancelling": true, "connIdleUs": 30000000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 300000, "dialTimeoutUs": 250000, "maxRetryAfterUs": 1000000,
			"mostHeld": 20000, "parallelTries": false, "peers": false, "probes": true, "retryAfter": true, "sendCap": 3, "streamsPerConn": 1},
		"localities": []string{"pavillon-a", "pavillon-b"}, "myZone": "pavillon-a",
		"prices":       map[string]any{"waste": 0.039, "probe": 0.0086},
		"registryMode": "pushed",
		"report":       map[string]any{"fields": []string{"concurrent"}, "how": "answers"},
		"rules": map[string]any{"answerSlackUs": 8000, "askWithinUs": 10000000, "coldShare": 0.18, "drainGraceUs": 2000000, "fallUs": 3000000, "tipMultiple": 4.0,
			"warmWithinUs": 17000000},
		"stage": 0, "tickUs": 2000, "tiers": []string{"tracker-store"}, "weightKind": "nominal",
	}
}

// Config returns an initiator's configuration, in the form of the deployment page. Fields replace or add to it.
func Config(name, listen, discovery string, settings map[string]any, fields map[string]any) string {
	c := map[string]any{"name": name, "listen": listen, "discovery": discovery, "limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings}
	for k, v := range fields {
		c[k] = v
	}
	b, _ := json.Marshal(c)
	return string(b)
}
