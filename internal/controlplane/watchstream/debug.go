package watchstream

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// DebugPrint writes the store's state; equal states give equal output.
func (s *Store) DebugPrint(w io.Writer) {
	fmt.Fprint(w, s.epoch, s.replaces, s.have, s.consistent, s.newestSeen, s.tombstoneFloor)
	for k := range s.byKind {
		s.byKind[k].byVersion.Ascend(func(r *Record) bool {
			fmt.Fprintf(w, " %s@%d%t", r.Key, r.Version, r.Deleted)
			return true
		})
	}
	fmt.Fprintln(w, s.digests)
}

// DebugPrint writes the reader's state except its request number.
func (r *Replica) DebugPrint(w io.Writer) {
	r.store.DebugPrint(w)
	if r.replacement != nil {
		r.replacement.DebugPrint(w)
	}
	fmt.Fprintln(w, r.applied, r.generation, r.rejection, r.progress, r.digestsWanted)
}

// DebugPrint writes the source's state without its store, times and sequence numbers only as far as they
// still have an effect. requestCount returns how many requests a reader has sent.
func (s *Source) DebugPrint(w io.Writer, now time.Duration, requestCount func(name string) uint64) {
	s.admission.refill(now)
	fmt.Fprintf(w, "%.2f %v %d %d", s.admission.tokens, max(0, s.nextBusySlot-now).Round(time.Millisecond), s.reportedSeq, s.changeSeq)
	for _, name := range slices.Sorted(maps.Keys(s.readers)) {
		r := s.readers[name]
		r.refill(now)
		req := r.request
		fmt.Fprintf(w, " %s %s%v%v%v%d.%d %v %v %t%t %.0f %.0f %d %v", name, req.Epoch, req.Have, req.Seen, req.Applied, req.Generation, requestCount(name)-req.Seq, req.Rejection, req.Progress,
			r.waiting, r.silent, r.targetTokens.tokens, r.sharedTokens.tokens, r.changeSeq, min(now-r.lastHeardAt, s.opt.SilentAfter).Round(10*time.Millisecond))
		if r.resync != nil {
			fmt.Fprint(w, *r.resync)
		}
	}
	fmt.Fprintln(w)
}

// DebugPrint writes the tracker's state without times.
func (t *AckTracker) DebugPrint(w io.Writer) {
	fmt.Fprint(w, t.epoch)
	for _, id := range slices.Sorted(maps.Keys(t.relays)) {
		r := t.relays[id]
		fmt.Fprint(w, " ", id, r.Incarnation, r.UpTo, r.Consistent)
	}
	for _, name := range slices.Sorted(maps.Keys(t.readers)) {
		state := t.readers[name]
		fmt.Fprint(w, " ", name, state.relay, state.Generation, state.Applied, state.Rejection, state.Silent)
	}
	fmt.Fprintln(w)
}

// EachReader calls f for each reader in order of name, with the relay that reported it.
func (t *AckTracker) EachReader(f func(relay string, c Cursor)) {
	for _, name := range slices.Sorted(maps.Keys(t.readers)) {
		f(t.readers[name].relay, t.readers[name].Cursor)
	}
}
