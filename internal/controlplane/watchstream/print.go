package watchstream

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Print writes the store's state: equal states print alike.
func (s *Store) Print(w io.Writer) {
	fmt.Fprint(w, s.epoch, s.replaces, s.have, s.whole, s.seen, s.floor)
	for k := range s.lanes {
		s.lanes[k].order.Ascend(func(r *Record) bool {
			fmt.Fprintf(w, " %s@%d%t", r.Key, r.Version, r.Gone)
			return true
		})
	}
	fmt.Fprintln(w, s.sums)
}

// Print writes the reader's state, but for the number of its hellos.
func (r *Replica) Print(w io.Writer) {
	r.store.Print(w)
	if r.next != nil {
		r.next.Print(w)
	}
	fmt.Fprintln(w, r.inForce, r.turn, r.down, r.digest, r.asked)
}

// Print writes the source's state but for its store and the times and numbers that nothing depends on any more. Said is how many hellos a reader
// has said.
func (s *Source) Print(w io.Writer, now time.Duration, said func(name string) uint64) {
	s.admit.fill(now)
	fmt.Fprintf(w, "%.2f %v %d %d", s.admit.tokens, max(0, s.booked-now).Round(time.Millisecond), s.base, s.changes)
	for _, name := range slices.Sorted(maps.Keys(s.readers)) {
		r := s.readers[name]
		r.fill(now)
		h := r.hello
		fmt.Fprintf(w, " %s %s%v%v%v%d.%d %v %v %t%t %.0f %.0f %d %v", name, h.Epoch, h.Have, h.Seen, h.InForce, h.Turn, said(name)-h.Seq, h.Refused, h.Digest,
			r.waits, r.silent, r.own.tokens, r.both.tokens, r.change, min(now-r.heard, s.opt.Silent).Round(10*time.Millisecond))
		if r.run != nil {
			fmt.Fprint(w, *r.run)
		}
	}
	fmt.Fprintln(w)
}

// Print writes what the tally knows, but for times.
func (t *Tally) Print(w io.Writer) {
	fmt.Fprint(w, t.epoch)
	for _, id := range slices.Sorted(maps.Keys(t.relays)) {
		r := t.relays[id]
		fmt.Fprint(w, " ", id, r.Life, r.Upto, r.Has)
	}
	for _, name := range slices.Sorted(maps.Keys(t.readers)) {
		c := t.readers[name]
		fmt.Fprint(w, " ", name, c.relay, c.Turn, c.InForce, c.Refused, c.Silent)
	}
	fmt.Fprintln(w)
}

// Each calls f with what the tally counts of each reader, in order of names, and the relay that it has it from.
func (t *Tally) Each(f func(relay string, r Reading)) {
	for _, name := range slices.Sorted(maps.Keys(t.readers)) {
		f(t.readers[name].relay, t.readers[name].Reading)
	}
}
