package run

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"time"
)

// reportState counts the running initiators that have the marks of an order, and sums up violations and traffic.
func (h *host) reportState(o *hostOrder, s *hostState) {
	for _, in := range h.initiators {
		if n, what := in.Checker.Violations(); n > 0 {
			s.Violations, s.ViolationTexts = s.Violations+n, append(s.ViolationTexts, what...)
		}
		if !in.Running() {
			continue
		}
		in.Poll()
		s.Running++
		reached := true
		for _, m := range o.Marks {
			if v, applies := m.versionFor(h.specs[in.Name()]); applies && in.Checker.Version(m.Lane) < v {
				reached = false
			}
		}
		if reached {
			s.Reached++
		} else if len(s.Behind) < 4 {
			s.Behind = append(s.Behind, in.Name())
		}
		in, out, moves := in.StreamTotals()
		s.In, s.Out, s.RelayMoves = s.In+int64(in), s.Out+int64(out), s.RelayMoves+moves
	}
	s.Pending = int(h.pendingRestarts.Load())
	s.ViolationTexts = s.ViolationTexts[:min(len(s.ViolationTexts), 8)]
	s.In, s.Out = s.In+h.traffic.in.Load(), s.Out+h.traffic.out.Load()
}

// reportLatencies reports when each change came into force.
func (h *host) reportLatencies(o *hostOrder, s *hostState) {
	s.Latencies = map[string]int{}
	for _, m := range o.Marks {
		l := lastArrival{Lane: m.Lane, Primary: m.Primary}
		for _, in := range h.initiators {
			v, applies := m.versionFor(h.specs[in.Name()])
			if !applies || !in.Running() {
				continue
			}
			at, done := in.Checker.AppliedAt(m.Lane, v)
			if !done {
				s.Missing++
				if len(s.Behind) < 4 {
					s.Behind = append(s.Behind, in.Name())
				}
				continue
			}
			ms := float64(max(0, at-m.At)) / float64(time.Millisecond)
			s.Latencies[fmt.Sprintf("%s %d", m.Lane, int(ms))]++
			if cmp.Compare(ms, l.Ms) > 0 || l.Initiator == "" {
				l.Initiator, l.Ms = in.Name(), ms
			}
		}
		s.Last = append(s.Last, l)
	}
}

// openUnreadConns sends requests on a number of new connections that are never read from.
func (h *host) openUnreadConns(o *hostOrder) error {
	for i := range o.Number {
		in := h.initiators[i%len(h.initiators)]
		addr, request, err := in.PipelinedRequests(fmt.Sprint("deaf-", os.Getpid(), "-", i))
		if err != nil {
			return err
		}
		c, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(h.ctx, "tcp", addr)
		if err != nil {
			return err
		}
		h.unreadConns = append(h.unreadConns, c)
		go func() { _, _ = c.Write(request) }() // in a goroutine, since the peer may stop reading as well; closing the connection ends it
	}
	return nil
}
