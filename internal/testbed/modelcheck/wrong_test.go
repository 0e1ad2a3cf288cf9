package modelcheck

import (
	"fmt"
	"os"
	"testing"

	"spindlehitch/internal/testbed/modelcheck/explore"
)

var mistakes = []explore.Mistake{
	{"the end reckoned from the answer", "quota/quotaclient/renewal.go", "end := c.renewalStartedAt + c.config.AllocationTTL()", "end := now + c.config.AllocationTTL()", ""},
	{"no clock bound at the giver", "quota/allocator/allocator.go", "return a.config.MaxOnOtherClock(a.config.AllocationTTL() + b.Linger())", "return a.config.AllocationTTL() + b.Linger()", ""},
	{"a new giver that doesn't wait", "quota/allocator/allocator.go", "if now < a.startedAt+a.outstandingTTL(b) {", "if now < a.startedAt {", ""},
	{"a part taken anew after its end", "quota/quotaclient/renewal.go", "if a.ExtendsOnly && now >= alloc.grantedUntil {", "if false {", ""},
	{"an older answer taken", "quota/quotaclient/renewal.go", "resp.Seq != c.lastSeq || c.renewalAnswered", "resp.Seq > c.lastSeq", ""},
	{"an answer to an earlier incarnation taken", "quota/quotaclient/renewal.go", "resp.ID != c.memberID || ", "", ""},
	{"an old renewal heard", "quota/allocator/allocator.go", "case req.Seq <= m.lastSeq:", "case false:", ""},
	{"a grant not counted", "quota/allocator/allocator.go", "e.granted, e.grantedUntil = grant.Amount, now+a.outstandingTTL(b)", "", ""},
	{"a part that shrinks counted small before it is", "quota/allocator/allocator.go", "reported: held, reportedUntil: now + a.outstandingTTL(b), usage: rep}", "usage: rep}\n\t\t_ = held", ""},
	{"floors not set aside", "quota/config.go", "max(0, limit.Rate-sessions*b.FloorRate)", "max(0, limit.Rate)", ""},
	{"floors' bursts not set aside", "quota/config.go", "max(0, limit.Burst-sessions*b.FloorBurst)", "max(0, limit.Burst)", ""},
	{"the clocks' bound not taken off a rate", "quota/config.go", "b.Capacity / (1 + c.drift())", "b.Capacity", ""},
	{"more members than seats", "registry/registry.go", "len(r.Members) >= r.QuotaConfig.MaxSessions", "len(r.Members) > r.QuotaConfig.MaxSessions", ""},
	{"a part that brings tokens", "quota/quotaclient/renewal.go", "alloc.tokens = min(alloc.tokens, c.burstNow(b, alloc, now)) // an allocation", "alloc.tokens = c.burstNow(b, alloc, now) // an allocation", ""},
	{"saved tokens kept past the end", "quota/quotaclient/bucket.go", "\talloc.tokens = min(alloc.tokens, c.burstNow(b, alloc, now))\n\treturn alloc" + explore.PlaceSeparator + "alloc.tokens = min(a.Burst, alloc.tokens+",
		"\treturn alloc" + explore.PlaceSeparator + "alloc.tokens = min(max(a.Burst, alloc.tokens), alloc.tokens+"},
	{"buckets that start full", "quota/quotaclient/bucket.go", "allocation{tokensAt: c.registeredAt, lastUsedAt: now}", "allocation{tokensAt: 0, lastUsedAt: now}", ""},
	{"a majority of one", "readindex/queue.go", "return 2*agree > agents", "return agree > 0", ""},
	{"a later term agreed with", "readindex/queue.go", "if t <= ownTerm {", "if t > 0 {", ""},
	{"asked before it is decided", "readindex/queue.go", "pendingAnswer[T]{q.roundNumber + 1, term, answer}", "pendingAnswer[T]{q.roundNumber, term, answer}", ""},
	{"a seat given on early", "quota/allocator/allocator.go", "now >= m.lastSeenAt+a.sessionTTL())", "now >= m.lastSeenAt+a.config.AllocationTTL())", ""},
	{"a seat given on with its floor still out", "quota/allocator/allocator.go", "return a.config.MaxOnOtherClock(a.config.SessionTTL() + linger)", "return a.config.MaxOnOtherClock(a.config.SessionTTL()) + 0*linger", ""},
	{"a seat that doesn't end at its member", "quota/quotaclient/client.go", "return c.registered && now < c.sessionEnd", "return c.registered", ""},
	{"a lost join that keeps its first time", "quota/allocator/allocator.go", "\t\texisting.lastSeenAt = now\n\t\ta.members[m.ID] = existing\n\t\treturn nil", "\t\treturn nil", ""},
	{"a stock given on before it is drained", "quota/allocator/allocator.go", "held.Rate = max(held.Rate, rep.InUse-b.FloorRate)", "", ""},
	{"no time to end for what is out", "quota/allocator/allocator.go", "a.config.AllocationTTL() + b.Linger()", "a.config.AllocationTTL()", ""},
	{"left over reckoned without one", "quota/allocator/ledger.go", "at != except {", "at > except {", ""},
	{"left over reckoned without a run", "quota/allocator/ledger.go", "\t\tif i == except/l.blockSize {\n", "\t\tif i < except/l.blockSize {\n\t\t\tcontinue\n\t\t}\n\t\tif i == except/l.blockSize {\n", ""},
	{"a run's sum from before a renewal", "quota/allocator/ledger.go", "\tif len(l.blockSums) > 0 {\n", "\tif false {\n", ""},
	{"a run's sum of other rows", "quota/allocator/ledger.go", "func (l *ledger) invalidateAll() { l.blockSums = l.blockSums[:0] }\n", "func (l *ledger) invalidateAll() {\n\tif len(l.entries) > l.blockSize*len(l.blockSums) || l.blockSize*(len(l.blockSums)-1) >= len(l.entries) {\n\t\tl.blockSums = l.blockSums[:0]\n\t}\n}\n", ""},
	{"a new giver that doesn't wait for what lingers", "quota/allocator/allocator.go", "if now < a.startedAt+a.outstandingTTL(b) {", "if now < a.startedAt+a.config.MaxOnOtherClock(a.config.AllocationTTL()) {", ""},
	{"a burst given twice", "quota/allocator/shares.go", "if burst > unallocated.Burst {", "if false {", ""},
}

// TestPlanted puts each mistake into the code and has the searches look for it.
func TestPlanted(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_PROOF") == "" {
		t.Skip("make proof runs it")
	}
	found := explore.Plant(t, "../../controlplane", "^(TestLong|TestSearch)$", mistakes)
	fmt.Printf("proof: budgets: %d states searched, %d of %d planted mistakes found\n", statesSearched, found, len(mistakes))
}
