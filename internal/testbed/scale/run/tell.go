package run

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"time"
)

// state tells who has what is asked about, and what was broken.
func (h *host) state(o *order, s *state) {
	for _, in := range h.all {
		if n, what := in.Checker.Violations(); n > 0 {
			s.Broken, s.What = s.Broken+n, append(s.What, what...)
		}
		if !in.Running() {
			continue
		}
		in.Poll()
		s.Running++
		has := true
		for _, m := range o.Marks {
			if v, there := m.of(h.spec[in.Name()]); there && in.Checker.Version(m.Lane) < v {
				has = false
			}
		}
		if has {
			s.Reached++
		} else if len(s.Lags) < 4 {
			s.Lags = append(s.Lags, in.Name())
		}
		in, out, moves := in.StreamTotals()
		s.In, s.Out, s.Moves = s.In+int64(in), s.Out+int64(out), s.Moves+moves
	}
	s.Pending = int(h.pending.Load())
	s.What = s.What[:min(len(s.What), 8)]
	s.In, s.Out = s.In+h.wire.in.Load(), s.Out+h.wire.out.Load()
}

// collect tells when each change came into force.
func (h *host) collect(o *order, s *state) {
	s.Done = map[string]int{}
	for _, m := range o.Marks {
		l := last{Lane: m.Lane, Primary: m.Primary}
		for _, in := range h.all {
			v, there := m.of(h.spec[in.Name()])
			if !there || !in.Running() {
				continue
			}
			at, done := in.Checker.AppliedAt(m.Lane, v)
			if !done {
				s.Missing++
				if len(s.Lags) < 4 {
					s.Lags = append(s.Lags, in.Name())
				}
				continue
			}
			ms := float64(max(0, at-m.At)) / float64(time.Millisecond)
			s.Done[fmt.Sprintf("%s %d", m.Lane, int(ms))]++
			if cmp.Compare(ms, l.Ms) > 0 || l.Who == "" {
				l.Who, l.Ms = in.Name(), ms
			}
		}
		s.Last = append(s.Last, l)
	}
}

// deafen opens calls that are never read from, as many as asked for.
func (h *host) deafen(o *order) error {
	for i := range o.Number {
		in := h.all[i%len(h.all)]
		addr, request, err := in.PipelinedRequests(fmt.Sprint("deaf-", os.Getpid(), "-", i))
		if err != nil {
			return err
		}
		c, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(h.ctx, "tcp", addr)
		if err != nil {
			return err
		}
		h.deaf = append(h.deaf, c)
		go func() { _, _ = c.Write(request) }() // the other end may stop reading, as this one does
	}
	return nil
}
