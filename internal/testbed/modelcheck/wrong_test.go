package modelcheck

import (
	"fmt"
	"os"
	"testing"

	"spindlehitch/internal/testbed/modelcheck/explore"
)

var mistakes = []explore.Mistake{
	{"the end reckoned from the answer", "quota/quotaclient/renewal.go", "end := h.renewalStartedAt + h.config.AllocationTTL()", "end := now + h.config.AllocationTTL()", ""},
	{"no clock bound at the giver", "quota/allocator/allocator.go", "return g.config.MaxOnOtherClock(g.config.AllocationTTL() + b.Linger())", "return g.config.AllocationTTL() + b.Linger()", ""},
	{"a new giver that doesn't wait", "quota/allocator/allocator.go", "if now < g.startedAt+g.outstandingTTL(b) {", "if now < g.startedAt {", ""},
	{"a part taken anew after its end", "quota/quotaclient/renewal.go", "if g.ExtendsOnly && now >= x.grantedUntil {", "if false {", ""},
	{"an older answer taken", "quota/quotaclient/renewal.go", "a.Seq != h.lastSeq || h.renewalAnswered", "a.Seq > h.lastSeq", ""},
	{"an answer to an earlier incarnation taken", "quota/quotaclient/renewal.go", "a.ID != h.memberID || ", "", ""},
	{"an old renewal heard", "quota/allocator/allocator.go", "case r.Seq <= m.lastSeq:", "case false:", ""},
	{"a grant not counted", "quota/allocator/allocator.go", "x.granted, x.grantedUntil = grant.Amount, now+g.outstandingTTL(b)", "", ""},
	{"a part that shrinks counted small before it is", "quota/allocator/allocator.go", "reported: held, reportedUntil: now + g.outstandingTTL(b), usage: rep}", "usage: rep}\n\t\t_ = held", ""},
	{"floors not set aside", "quota/config.go", "max(0, t.Rate-n*b.FloorRate)", "max(0, t.Rate)", ""},
	{"floors' bursts not set aside", "quota/config.go", "max(0, t.Burst-n*b.FloorBurst)", "max(0, t.Burst)", ""},
	{"the clocks' bound not taken off a rate", "quota/config.go", "b.Capacity / (1 + d.drift())", "b.Capacity", ""},
	{"more members than seats", "registry/registry.go", "len(r.Members) >= r.QuotaConfig.MaxSessions", "len(r.Members) > r.QuotaConfig.MaxSessions", ""},
	{"a part that brings tokens", "quota/quotaclient/renewal.go", "x.tokens = min(x.tokens, h.burstNow(b, x, now)) // an allocation", "x.tokens = h.burstNow(b, x, now) // an allocation", ""},
	{"saved tokens kept past the end", "quota/quotaclient/bucket.go", "\tx.tokens = min(x.tokens, h.burstNow(b, x, now))\n\treturn x" + explore.Places + "x.tokens = min(a.Burst, x.tokens+",
		"\treturn x" + explore.Places + "x.tokens = min(max(a.Burst, x.tokens), x.tokens+"},
	{"buckets that start full", "quota/quotaclient/bucket.go", "allocation{tokensAt: h.registeredAt, lastUsedAt: now}", "allocation{tokensAt: 0, lastUsedAt: now}", ""},
	{"a majority of one", "readindex/queue.go", "return 2*agree > agents", "return agree > 0", ""},
	{"a later term agreed with", "readindex/queue.go", "if t <= own {", "if t > 0 {", ""},
	{"asked before it is decided", "readindex/queue.go", "pendingAnswer[T]{d.roundNumber + 1, term, it}", "pendingAnswer[T]{d.roundNumber, term, it}", ""},
	{"a seat given on early", "quota/allocator/allocator.go", "now >= m.lastHeardAt+g.sessionTTL())", "now >= m.lastHeardAt+g.config.AllocationTTL())", ""},
	{"a seat given on with its floor still out", "quota/allocator/allocator.go", "return g.config.MaxOnOtherClock(g.config.SessionTTL() + linger)", "return g.config.MaxOnOtherClock(g.config.SessionTTL()) + 0*linger", ""},
	{"a seat that doesn't end at its member", "quota/quotaclient/client.go", "return h.registered && now < h.sessionEnd", "return h.registered", ""},
	{"a lost join that keeps its first time", "quota/allocator/allocator.go", "\t\tx.lastHeardAt = now\n\t\tg.members[m.ID] = x\n\t\treturn nil", "\t\treturn nil", ""},
	{"a stock given on before it is drained", "quota/allocator/allocator.go", "held.Rate = max(held.Rate, rep.InUse-b.FloorRate)", "", ""},
	{"no time to end for what is out", "quota/allocator/allocator.go", "g.config.AllocationTTL() + b.Linger()", "g.config.AllocationTTL()", ""},
	{"left over reckoned without one", "quota/allocator/ledger.go", "at != but {", "at > but {", ""},
	{"left over reckoned without a run", "quota/allocator/ledger.go", "\t\tif i == but/p.blockSize {\n", "\t\tif i < but/p.blockSize {\n\t\t\tcontinue\n\t\t}\n\t\tif i == but/p.blockSize {\n", ""},
	{"a run's sum from before a renewal", "quota/allocator/ledger.go", "\tif len(p.blockSums) > 0 {\n", "\tif false {\n", ""},
	{"a run's sum of other rows", "quota/allocator/ledger.go", "func (p *ledger) invalidateAll() { p.blockSums = p.blockSums[:0] }\n", "func (p *ledger) invalidateAll() {\n\tif len(p.entries) > p.blockSize*len(p.blockSums) || p.blockSize*(len(p.blockSums)-1) >= len(p.entries) {\n\t\tp.blockSums = p.blockSums[:0]\n\t}\n}\n", ""},
	{"a new giver that doesn't wait for what lingers", "quota/allocator/allocator.go", "if now < g.startedAt+g.outstandingTTL(b) {", "if now < g.startedAt+g.config.MaxOnOtherClock(g.config.AllocationTTL()) {", ""},
	{"a burst given twice", "quota/allocator/shares.go", "if burst > left.Burst {", "if false {", ""},
}

// TestPlanted puts each mistake into the code and has the searches look for it.
func TestPlanted(t *testing.T) {
	if os.Getenv("SPINDLEHITCH_PROOF") == "" {
		t.Skip("make proof runs it")
	}
	found := explore.Plant(t, "../../controlplane", "^(TestLong|TestSearch)$", mistakes)
	fmt.Printf("proof: budgets: %d states searched, %d of %d planted mistakes found\n", searched, found, len(mistakes))
}
