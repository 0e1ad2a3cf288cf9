package modelcheck

import (
	"fmt"
	"os"
	"testing"

	"spindlehitch/internal/testbed/modelcheck/explore"
)

// mistakes are planted one at a time.
var mistakes = []explore.Mistake{
	{"allocation end counted from the response", "quota/quotaclient/renewal.go", "end := c.renewalStartedAt + c.config.AllocationTTL()", "end := now + c.config.AllocationTTL()", ""},
	{"no clock drift bound at the allocator", "quota/allocator/allocator.go", "return a.config.MaxOnOtherClock(a.config.AllocationTTL() + b.Linger())", "return a.config.AllocationTTL() + b.Linger()", ""},
	{"a new allocator without a recovery wait", "quota/allocator/allocator.go", "if now < a.startedAt+a.outstandingTTL(b) {", "if now < a.startedAt {", ""},
	{"an extension accepted after the allocation's end", "quota/quotaclient/renewal.go", "if a.ExtendsOnly && now >= alloc.grantedUntil {", "if false {", ""},
	{"an older response accepted", "quota/quotaclient/renewal.go", "resp.Seq != c.lastSeq || c.renewalAnswered", "resp.Seq > c.lastSeq", ""},
	{"a response to an earlier session accepted", "quota/quotaclient/renewal.go", "resp.ID != c.memberID || ", "", ""},
	{"an old renewal accepted", "quota/allocator/allocator.go", "case req.Seq <= m.lastSeq:", "case false:", ""},
	{"a grant not recorded", "quota/allocator/allocator.go", "e.granted, e.grantedUntil = grant.Amount, now+a.outstandingTTL(b)", "", ""},
	{"a reduced allocation counted as reduced too early", "quota/allocator/allocator.go", "reported: held, reportedUntil: now + a.outstandingTTL(b), usage: rep}", "usage: rep}\n\t\t_ = held", ""},
	{"floors not reserved", "quota/config.go", "max(0, limit.Rate-sessions*b.FloorRate)", "max(0, limit.Rate)", ""},
	{"bursts of floors not reserved", "quota/config.go", "max(0, limit.Burst-sessions*b.FloorBurst)", "max(0, limit.Burst)", ""},
	{"a rate not reduced by the clock drift bound", "quota/config.go", "b.Capacity / (1 + c.drift())", "b.Capacity", ""},
	{"more members than sessions", "registry/registry.go", "len(r.Members) >= r.QuotaConfig.MaxSessions", "len(r.Members) > r.QuotaConfig.MaxSessions", ""},
	{"a bucket refilled by a new allocation", "quota/quotaclient/renewal.go", "alloc.tokens = min(alloc.tokens, c.burstNow(b, alloc, now)) // an allocation", "alloc.tokens = c.burstNow(b, alloc, now) // an allocation", ""},
	{"tokens kept past the allocation's end", "quota/quotaclient/bucket.go", "\talloc.tokens = min(alloc.tokens, c.burstNow(b, alloc, now))\n\treturn alloc" + explore.PlaceSeparator + "alloc.tokens = min(a.Burst, alloc.tokens+",
		"\treturn alloc" + explore.PlaceSeparator + "alloc.tokens = min(max(a.Burst, alloc.tokens), alloc.tokens+"},
	{"buckets that start full", "quota/quotaclient/bucket.go", "allocation{tokensAt: c.registeredAt, lastUsedAt: now}", "allocation{tokensAt: 0, lastUsedAt: now}", ""},
	{"a majority of one", "readindex/queue.go", "return 2*agree > agents", "return agree > 0", ""},
	{"a later term counted as agreement", "readindex/queue.go", "if t <= ownTerm {", "if t > 0 {", ""},
	{"a round that began before the decision confirms it", "readindex/queue.go", "pendingAnswer[T]{q.roundNumber + 1, term, answer}", "pendingAnswer[T]{q.roundNumber, term, answer}", ""},
	{"a session reassigned early", "quota/allocator/allocator.go", "now >= m.lastSeenAt+a.sessionTTL())", "now >= m.lastSeenAt+a.config.AllocationTTL())", ""},
	{"a session reassigned while its floor is in use", "quota/allocator/allocator.go", "return a.config.MaxOnOtherClock(a.config.SessionTTL() + linger)", "return a.config.MaxOnOtherClock(a.config.SessionTTL()) + 0*linger", ""},
	{"a session that doesn't expire at its member", "quota/quotaclient/client.go", "return c.registered && now < c.sessionEnd", "return c.registered", ""},
	{"a repeated join that keeps its first time", "quota/allocator/allocator.go", "\t\texisting.lastSeenAt = now\n\t\ta.members[m.ID] = existing\n\t\treturn nil", "\t\treturn nil", ""},
	{"connections reassigned before they are closed", "quota/allocator/allocator.go", "held.Rate = max(held.Rate, rep.InUse-b.FloorRate)", "", ""},
	{"no linger time for open connections", "quota/allocator/allocator.go", "a.config.AllocationTTL() + b.Linger()", "a.config.AllocationTTL()", ""},
	{"an entry left out of the sum of grants", "quota/allocator/ledger.go", "at != except {", "at > except {", ""},
	{"blocks left out of the sum of grants", "quota/allocator/ledger.go", "\t\tif i == except/l.blockSize {\n", "\t\tif i < except/l.blockSize {\n\t\t\tcontinue\n\t\t}\n\t\tif i == except/l.blockSize {\n", ""},
	{"a block's sum not updated by a renewal", "quota/allocator/ledger.go", "\tif len(l.blockSums) > 0 {\n", "\tif false {\n", ""},
	{"a block's sum of other entries", "quota/allocator/ledger.go", "func (l *ledger) invalidateAll() { l.blockSums = l.blockSums[:0] }\n", "func (l *ledger) invalidateAll() {\n\tif len(l.entries) > l.blockSize*len(l.blockSums) || l.blockSize*(len(l.blockSums)-1) >= len(l.entries) {\n\t\tl.blockSums = l.blockSums[:0]\n\t}\n}\n", ""},
	{"a new allocator that doesn't wait for lingering connections", "quota/allocator/allocator.go", "if now < a.startedAt+a.outstandingTTL(b) {", "if now < a.startedAt+a.config.MaxOnOtherClock(a.config.AllocationTTL()) {", ""},
	{"a burst allocated twice", "quota/allocator/shares.go", "if burst > unallocated.Burst {", "if false {", ""},
}

// TestPlanted checks that TestLong or TestSearch finds each of the planted mistakes.
func TestPlanted(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_PROOF") == "" {
		t.Skip("make proof runs it")
	}
	found := explore.Plant(t, "../../controlplane", "^(TestLong|TestSearch)$", mistakes)
	fmt.Printf("proof: budgets: %d states searched, %d of %d planted mistakes found\n", statesSearched, found, len(mistakes))
}
