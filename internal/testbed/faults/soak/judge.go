package soak

import (
	"fmt"
	"net/http"
	"time"
)

// Bounds of the protocol page.
const (
	lateAfter       = 500 * time.Millisecond // after its time an answer is lost
	leaveGrace      = 100 * time.Millisecond // after its client has left, no attempt may begin
	toldSlack       = 150 * time.Millisecond // by which a target may be told more than the client has left
	drainGrace      = 2 * time.Second        // after a target was listed as draining, no request may begin there
	killGrace       = 50 * time.Millisecond  // before SIGKILL, in which a request may still be on its way to the process
	logRounding     = time.Millisecond       // of times in the log
	endLogged       = 500 * time.Millisecond // within which the end of a connection is in the log
	stopMargin      = 100 * time.Millisecond // before SIGKILL, in which no request is served any more
	cutOffAllowance = 100 * time.Millisecond // before the client's deadline, from which an answer may be given up
)

// Rule names what must hold for each request, or for the process.
type Rule string

// Rules.
const (
	ruleLost      Rule = "a request that was read has an answer"
	ruleLate      Rule = "an answer comes in its time"
	ruleCutOff    Rule = "an answer that a target writes is not cut off"
	ruleTwice     Rule = "a side effect runs at most once"
	ruleRefused   Rule = "a refused side effect has not run"
	ruleBody      Rule = "an answer is that of its request"
	ruleGone      Rule = "nothing begins for a client that has left"
	ruleTold      Rule = "a target is told at most the time that its client has left"
	ruleDrain     Rule = "nothing begins at a target that drains"
	ruleMemory    Rule = "the process keeps to its memory"
	ruleSurvive   Rule = "the process ends only when it is told to, and without an error"
	ruleReset     Rule = "a broken answer is never taken for a whole one"
	ruleUsefulRun Rule = "some requests are served"
)

// Violation is a rule that did not hold.
type Violation struct {
	Rule     Rule
	Exchange *Exchange // nil: it is the process's
	Detail   string
}

// Judge returns the rules that did not hold.
func Judge(h *History) []Violation {
	found := judgeProcess(h)
	for _, e := range h.Exchanges {
		report := func(rule Rule, format string, args ...any) {
			found = append(found, Violation{rule, e, fmt.Sprintf(format, args...)})
		}
		judgeAnswer(h, e, report)
		judgeRuns(h, e, report)
		for _, a := range h.Attempts[e.ID] {
			judgeAttempt(h, e, a, report)
		}
	}
	return found
}

func judgeProcess(h *History) (found []Violation) {
	if h.PeakKB > h.Plan.MemoryMB<<10 {
		found = append(found, Violation{ruleMemory, nil, fmt.Sprintf("%d KB of %d MB", h.PeakKB, h.Plan.MemoryMB)})
	}
	if h.ExitErr != nil || !h.ExitedAt.IsZero() && h.ExitedAt.Before(h.TermAt) {
		found = append(found, Violation{ruleSurvive, nil, fmt.Sprintf("it ended %v after SIGTERM: %v", h.ExitedAt.Sub(h.TermAt), h.ExitErr)})
	}
	for _, e := range h.Exchanges {
		if e.Status == http.StatusOK && e.Whole {
			return found
		}
	}
	return append(found, Violation{ruleUsefulRun, nil, fmt.Sprintf("none of %d", len(h.Exchanges))})
}

// judgeAnswer checks that the request has one whole answer in its time.
func judgeAnswer(h *History, e *Exchange, report func(Rule, string, ...any)) {
	switch {
	case !e.Left.IsZero():
		return
	case e.WrongBody:
		report(ruleBody, "another body than the target's")
	case e.Status == 0 && !e.Written.IsZero() && h.wasRead(e):
		report(ruleLost, "no answer: %v", e.Err)
	case e.Status != 0 && !e.Whole && h.cutOff(e):
		report(ruleCutOff, "broken: %v", e.Err)
	}
	if e.Whole && e.Status == http.StatusOK && !h.answeredWhole(e.ID) {
		report(ruleReset, "no target wrote a whole answer")
	}
	if due := e.Deadline().Add(lateAfter + h.Machine.allowance(e.Written, e.Ended)); e.Status != 0 && !e.Written.IsZero() && e.Ended.After(due) {
		report(ruleLate, "%v after its time", e.Ended.Sub(e.Deadline()))
	}
}

// wasRead reports whether the process had read some of the request, which was written whole and has no answer.
func (h *History) wasRead(e *Exchange) bool {
	if len(h.Attempts[e.ID]) > 0 {
		return true
	}
	for _, end := range h.ServerEnds[e.LocalAddr] {
		if end.At.After(e.DialedAt.Add(-logRounding)) && end.At.Before(e.Ended.Add(endLogged+h.Machine.MaxLag)) {
			return end.Requests >= e.OnConn
		}
	}
	if h.KilledAt.IsZero() || e.Ended.Before(h.KilledAt) {
		return false // it was never accepted
	}
	return e.Written.Before(h.KilledAt.Add(-killGrace - h.Machine.MaxLag))
}

// cutOff reports whether no target broke the answer, and the client still had time.
func (h *History) cutOff(e *Exchange) bool {
	for _, a := range h.Attempts[e.ID] {
		if a.Fault == resetWithin {
			return false
		}
	}
	return e.Ended.Before(h.givenUpFrom(e))
}

// givenUpFrom returns from when on an answer may be given up: shortly before the client's deadline, and after SIGTERM before the process may be killed.
func (h *History) givenUpFrom(e *Exchange) time.Time {
	at := e.Deadline()
	if kill := h.TermAt.Add(killAfter - stopMargin); kill.Before(at) {
		at = kill
	}
	return at.Add(-cutOffAllowance)
}

// answeredWhole reports whether a target wrote a whole answer to the request.
func (h *History) answeredWhole(id string) bool {
	for _, a := range h.Attempts[id] {
		if !a.Whole.IsZero() && a.Fault != resetWithin && a.Broken.IsZero() {
			return true
		}
	}
	return false
}

// judgeRuns checks how often the request ran.
func judgeRuns(h *History, e *Exchange, report func(Rule, string, ...any)) {
	runs := 0
	for _, a := range h.Attempts[e.ID] {
		if !a.Whole.IsZero() && !a.NotRun {
			runs++
		}
	}
	if e.Class.SideEffect && runs > 1 {
		report(ruleTwice, "it ran %d times", runs)
	}
	// A class without side effects may have run: to try it again is harmless.
	if e.Class.SideEffect && runs > 0 && (e.Status == http.StatusServiceUnavailable || e.Status == http.StatusTooManyRequests) {
		report(ruleRefused, "status %d", e.Status)
	}
}

// judgeAttempt checks an attempt.
func judgeAttempt(h *History, e *Exchange, a *Attempt, report func(Rule, string, ...any)) {
	// A target begins a request once it has it whole.
	if !e.Left.IsZero() && a.Whole.After(e.Left.Add(leaveGrace+h.Machine.allowance(e.Left, a.Whole))) {
		report(ruleGone, "at %s %v after its client left", a.Target, a.Whole.Sub(e.Left))
	}
	if !e.Written.IsZero() {
		left := e.Deadline().Sub(a.Begun)
		if a.Begun.Before(e.Written) {
			left = e.Timeout
		}
		if a.Told > max(left, 0)+toldSlack+h.Machine.allowance(e.Written, a.Begun) {
			report(ruleTold, "%s was told %v of %v", a.Target, a.Told, left)
		}
	}
	if at, drains := h.Drained[a.Target]; drains && h.discoveryWorked(at) && a.Begun.After(at.Add(drainGrace+h.Machine.MaxLag)) {
		report(ruleDrain, "at %s %v after it was listed", a.Target, a.Begun.Sub(at))
	}
	if !a.Broken.IsZero() && e.Left.IsZero() && !e.Written.IsZero() && a.Broken.Before(h.givenUpFrom(e)) && !e.servedBefore(a.Broken) {
		report(ruleCutOff, "%s could write no more %v before the client's deadline", a.Target, e.Deadline().Sub(a.Broken))
	}
}

// servedBefore reports whether the client had its whole answer by then.
func (e *Exchange) servedBefore(at time.Time) bool {
	return e.Whole && e.Status == http.StatusOK && e.Ended.Before(at)
}

// discoveryWorked reports whether discovery worked from a time on for as long as the grace of a drain.
func (h *History) discoveryWorked(from time.Time) bool {
	for _, at := range h.Outages {
		if at.After(from.Add(-discoveryOutage-drainGrace)) && at.Before(from.Add(drainGrace)) {
			return false
		}
	}
	return true
}
