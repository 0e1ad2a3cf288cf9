package feed

import (
	"fmt"
	"os"
	"testing"

	"spindlehitch/internal/testbed/modelcheck/explore"
)

const (
	take        = "watchstream/take.go"
	next        = "watchstream/next.go"
	sourceFile  = "watchstream/source.go"
	storeFile   = "watchstream/store.go"
	replicaFile = "watchstream/replica.go"
	tally       = "watchstream/tally.go"
	reportFile  = "watchstream/report.go"
	mover       = "watchstream/mover.go"
	and         = explore.PlaceSeparator
)

// mistakes are planted one at a time.
var mistakes = []explore.Mistake{
	// What a reader applies.
	{"a gap skipped", "watchstream/apply.go", "\tcase d.From != s.have:\n", "\tcase !s.have.notAfter(d.To):\n", ""},
	{"an older version applied", "watchstream/apply.go", "\tcase !s.newestSeen.notAfter(d.Head):\n" + and + "record.Version < old.Version && !(record.Deleted && old.Deleted)" + and + "old.Version >= r.Version",
		"\tcase false:\n" + and + "false" + and + "old.Version == r.Version", ""},
	{"another reader's or region's delta applied", "watchstream/apply.go", "\tcase d.Scope != r.scope:\n", "\tcase false:\n", ""},
	{"another fleet's delta applied", "watchstream/apply.go", "	case d.Fleet != s.fleet:\n", "	case false:\n", ""},
	{"another reader's layer applied", "watchstream/apply.go", "\tif !r.scope.Includes(record.Kind, record.Key) {\n", "\tif false {\n", ""},
	{"another history applied without the operator's declaration", "watchstream/apply.go" + and + "watchstream/source.go", "slices.Contains(d.Replaces, r.store.epoch) && !slices.Contains(r.store.replaces, d.Epoch)" + and + "!slices.Contains(s.store.replaces, req.Epoch)", "true" + and + "!slices.Contains(s.store.replaces, req.Epoch) && false", ""},
	{"another history in place before it is complete", "watchstream/apply.go", "\t\tif s.consistent != s.newestSeen || s.consistent.Targets != s.consistent.Config {", "\t\tif s.have.Targets == 0 {", ""},
	{"another history in place without its configuration", "watchstream/apply.go", "\t\tif s.consistent != s.newestSeen || s.consistent.Targets != s.consistent.Config {", "\t\tif s.consistent != s.newestSeen {", ""},
	{"records that the new history lacks kept", "watchstream/apply.go", "if current := next.byKind[k].keys[record.Key]; !record.Deleted && (current == nil || current.Deleted) {", "if current := next.byKind[k].keys[record.Key]; !record.Deleted && current != nil && current.Deleted {", ""},
	{"consistent after a partial delta", "watchstream/apply.go", "\t\tif *d.To.version(k) == *s.newestSeen.version(k) {\n", "\t\tif s.epoch != \"\" {\n", ""},
	{"records that a bucket doesn't list kept", "watchstream/apply.go", "			if !named[old.Key] {\n", "			if false {\n", ""},
	{"a changed bucket skipped as unchanged", "watchstream/digest.go" + and + "watchstream/apply.go", "\t\t\tif record.Version <= d.From.Targets { // the reader has this version (step 2)\n" + and + "\t\tif sum != b.Digest {\n", "\t\t\tif r.resync.digests != nil && r.resync.digests[to] != 0 {\n" + and + "\t\tif false {\n", ""},
	{"a range of buckets skipped", "watchstream/apply.go", "\tcase progress != DigestProgress{p.Start, p.From}:\n", "\tcase false:\n", ""},
	{"an oversized delta applied", "watchstream/apply.go", "\tcase d.Size() > MaxDeltaBytes:\n", "\tcase false:\n", ""},
	{"a version outside the delta's range applied", "watchstream/apply.go", "\t\tcase record.Version <= *d.From.version(record.Kind) || record.Version > *d.To.version(record.Kind):\n", "\t\tcase false:\n", ""},
	// What a source sends.
	{"a source that is behind sends deltas", "watchstream/delta.go" + and + "watchstream/apply.go", "\tcase !seen.notAfter(head) || !st.isConsistent(Targets): // step 4\n" + and + "\tcase !s.newestSeen.notAfter(d.Head):\n",
		"\tcase !seen.notAfter(head) && false || !st.isConsistent(Targets):\n" + and + "\tcase false:\n", ""},
	{"a relay serves before it is consistent", "watchstream/delta.go", "\tcase !seen.notAfter(head) || !st.isConsistent(Targets): // step 4\n", "\tcase !seen.notAfter(head): // step 4\n", ""},
	{"a version split between deltas", "watchstream/delta.go", "if record.Version != to && len(list) > 0 && float64(total) >= limit {", "if len(list) > 0 && float64(total) >= limit {", ""},
	{"a partial delta that claims the head", "watchstream/delta.go", "	if !truncated {\n		to = *s.store", "	if true {\n		to = *s.store", ""},
	{"a tombstone dropped without raising the floor", storeFile, "\t\ts.tombstoneFloor = max(s.tombstoneFloor, r.Version)\n", "", ""},
	{"the floor not raised by digests", "watchstream/apply.go", "\ts.tombstoneFloor = max(s.tombstoneFloor, d.Head.Targets)\n", "", ""},
	{"digests that don't cover versions", storeFile, "	binary.LittleEndian.PutUint64(v[:], r.Version)\n", "	binary.LittleEndian.PutUint64(v[:], 0)\n", ""},
	{"an ended resynchronization continued", sourceFile, "\tcase req.Progress == nil:\n", "\tcase false:\n", ""},
	{"a resynchronization that ends at the newest head", "watchstream/digest.go", "\t\td.To.Targets = r.resync.start\n", "\t\td.To.Targets = d.Head.Targets\n", ""},
	{"configuration before targets", "watchstream/delta.go" + and + "watchstream/apply.go", "\tif to != d.Head.Targets || !st.isConsistent(Config) {\n" + and + "\tcase d.To.Config != d.From.Config && d.To.Targets != d.Head.Targets:\n",
		"\tif !st.isConsistent(Config) {\n" + and + "\tcase false:\n", ""},
	{"configuration divided", "watchstream/delta.go" + and + "watchstream/apply.go", "\t\tlist, to, wait = s.pendingLayers(r, d)\n" + and + "d.To.Config != d.Head.Config && !r.scope.All",
		"\t\tlist, to, wait = s.pendingLayers(r, d)\n\t\tif len(list) > 1 {\n\t\t\tlist, to = list[:1], list[0].Version\n\t\t}\n" + and + "false", ""},
	{"bytes not counted", "watchstream/pacing.go", "\tr.targetTokens.tokens -= n - fromShared\n", "", ""},
	{"a lagging reader blocks the others", "watchstream/delta.go", "\thead := st.consistent\n", "\thead := st.consistent\n\tfor _, o := range s.readers {\n\t\tif o.request.Have.Min() < r.request.Have.Min() && o.request.Epoch == r.request.Epoch {\n\t\t\treturn nil, idleWait\n\t\t}\n\t}\n", ""},
	{"readers admitted without limit", sourceFile, "\t\ts.admission.tokens--\n", "", ""},
	// What counts as applied.
	{"acknowledged before it is applied", replicaFile, "Applied: r.applied, Generation", "Applied: r.Consistent(), Generation", ""},
	{"a partial delta counted as applied", replicaFile, "\tif !next.notAfter(r.store.consistent) {\n\t\treturn\n\t}\n", "\tnext = r.store.have\n", ""},
	{"changes of another history counted as applied", replicaFile, "\tif w.Epoch != r.store.epoch {\n" + and + "\tr.applied = Watermark{w.Epoch, previous.later(next)}\n",
		"\tif false {\n" + and + "\tr.applied = Watermark{r.store.epoch, previous.later(next)}\n", "TestAppliedAcrossHistories"},
	{"a rejected configuration counted as applied", replicaFile, "			next.Config = previous.Config\n", "", ""},
	{"a relay switch without a new generation", replicaFile, "\tr.generation++\n", "", ""},
	{"an old request processed", sourceFile, "req.Generation < r.request.Generation || req.Generation == r.request.Generation && req.Seq <= r.request.Seq", "false", ""},
	{"counted by an earlier generation", "watchstream/ack_tracker.go", "\tcase cursor.Generation < r.Generation || cursor.Generation == r.Generation && relay != r.relay:\n", "\tcase false:\n", ""},
	{"counted twice", "watchstream/ack_tracker.go", "\tr := t.readers[cursor.Name]\n", "\tcursor.Name += \"@\" + relay\n\tr := t.readers[cursor.Name]\n", ""},
	{"an old report accepted", "watchstream/ack_tracker.go", "report.Incarnation < previous.Incarnation || report.Incarnation == previous.Incarnation && report.Seq <= previous.Seq", "false", ""},
	{"report changes accepted without their base", "watchstream/ack_tracker.go", "\tcase !report.Full && (previous == nil || previous.Incarnation != report.Incarnation || report.Base > previous.UpTo):\n", "\tcase false:\n", ""},
	{"no full report after a request for one", reportFile, "\tcase resp.WantFull:\n\t\ts.reportedSeq = 0\n", "\tcase resp.WantFull:\n", ""},
	// Which relay a reader calls.
	{"all of a relay's readers fall back to the same one", "watchstream/relay_selector.go", "	_, _ = d.WriteString(reader)\n", "", "TestMoves"},
	{"other regions first", "watchstream/relay_selector.go", "			if a.Region == region {\n				return -1\n			}\n			return 1\n", "			if a.Region == region {\n				return 1\n			}\n			return -1\n", "TestMoves"},
	{"never returns home", "watchstream/relay_selector.go", "\tif s.current != 0 && s.searchOrigin < 0 && s.returnTo < 0 && s.failures == 0 && s.failuresHere == 0 && s.homeRetryAt > 0 && now >= s.homeRetryAt {\n", "\tif false {\n", "TestMoves"},
	{"a busy relay called before its retry time", "watchstream/relay_selector.go", "\t\ts.nextCallAt = now + retryAfter + s.randomBetween(0, s.opt.RetryMin)\n", "\t\ts.nextCallAt = now + s.randomBetween(0, s.opt.RetryMin)\n", "TestMoves"},
	{"a relay that is cut off never left", "watchstream/relay_selector.go", "\t\tif stale && now >= s.nextSearchAt {\n", "\t\tif false {\n", "TestAgedRelay"},
	{"left for one that is equally old", "watchstream/relay_selector.go", "\tif outcome != CallAnswered || !s.isFresher(age) {\n", "\tif outcome != CallAnswered {\n", "TestAgedRelay"},
	{"searches without a pause", "watchstream/relay_selector.go", "\ts.current, s.searchOrigin, s.nextSearchAt = s.searchOrigin, -1, now+s.randomBetween(s.opt.HomeRetryMin, s.opt.HomeRetryMax)\n", "\ts.current, s.searchOrigin, s.nextSearchAt = s.searchOrigin, -1, now\n", "TestAgedRelay"},
	{"never a relay of another region", "watchstream/relay_selector.go", "\t\tif i != s.current {\n", "\t\tif i != s.current && i < s.localCount {\n", "TestAgedRelay"},
	{"searches all regions", "watchstream/relay_selector.go", "min(s.localCount+1, len(s.relays))", "len(s.relays)", "TestAgedRelay"},
	{"returns home while it is cut off", "watchstream/relay_selector.go", "\tcase outcome == CallAnswered && !(stale && s.returnTo >= 0 && !s.isFresher(age)):\n", "\tcase outcome == CallAnswered:\n", "TestAgedRelay"},
	{"the retry of home deferred repeatedly", "watchstream/relay_selector.go", "\tcase s.homeRetryAt == 0: // a retry that is due stays due until it is tried\n", "\tcase s.homeRetryAt <= now:\n", "TestAgedRelay"},
	{"a search waits for a busy relay", "watchstream/relay_selector.go", "\tif outcome != CallAnswered || !s.isFresher(age) {\n\t\ts.searchNext(now)\n", "\tif outcome == CallBusy {\n\t\ts.nextCallAt = now + s.opt.RetryMin\n\t\treturn\n\t}\n\tif outcome != CallAnswered || !s.isFresher(age) {\n\t\ts.searchNext(now)\n", "TestAgedRelay"},
	{"no backoff after a failure", "watchstream/relay_selector.go", "\t\ts.nextCallAt = now + s.randomBetween(wait, 2*wait)\n", "\t\ts.nextCallAt = now + 0*s.randomBetween(wait, 2*wait)\n", "TestMoves"},
}

// TestPlanted checks that the tests find each of the planted mistakes.
func TestPlanted(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_PROOF") == "" {
		t.Skip("make proof runs it")
	}
	found := explore.Plant(t, "../../../controlplane", "^(TestLong|TestSearch)$", mistakes)
	fmt.Printf("proof: feed: %d states searched, %d of %d planted mistakes found\n", statesSearched, found, len(mistakes))
}
