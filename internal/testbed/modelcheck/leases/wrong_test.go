package leases

import "spindlehitch/internal/testbed/modelcheck/explore"

// mistakes are planted one at a time, each with the test or case that must find it. Where two checks guard the same
// invariant, both are removed.
var mistakes = []explore.Mistake{
	{"lease end counted from the response", "lease/lessee/renewal.go", "h.expiresAt, h.recalled = l.renewalStartedAt+task.TTL(), false", "h.expiresAt, h.recalled = now+task.TTL(), false",
		"TestSearch/a_late_response,"},
	{"no clock drift bound at the lessor", "lease/lessor/lessor.go", "return l.quotaConfig.MaxOnOtherClock(t.TTL() + t.MaxPause())", "return t.TTL() + t.MaxPause()", "TestSearch/an_operation_to_the_last"},
	{"pauses not waited for", "lease/lessor/lessor.go", "return l.quotaConfig.MaxOnOtherClock(t.TTL() + t.MaxPause())", "return l.quotaConfig.MaxOnOtherClock(t.TTL())", "TestSearch/an_operation_to_the_last"},
	{"a new lessor that doesn't wait", "lease/lessor/lessor.go", "state.expiresAt, state.maybeDelivered = now+l.leaseTTL(l.config.Task(granted.Task)), true", "state.expiresAt, state.maybeDelivered = now, true", "TestSearch/leaders"},
	{"an older response accepted", "lease/lessee/renewal.go", "resp.Seq != l.lastSeq || l.renewalAnswered", "resp.Seq > l.lastSeq", "TestSearch/a_late_response_after"},
	{"a renewal not recorded", "lease/lessor/renew.go", "state.expiresAt, state.maybeDelivered = now+l.leaseTTL(t), true", "state.maybeDelivered = true", "TestSearch/leaders"},
	{"no guard at the resource when an operation begins", "lease/fencing/fencing.go", "if token < g.Token || token == g.Token && operation <= g.Operation {", "if false {", "TestSearch/an_operation_not_yet"},
	{"no guard at the resource when it is changed", "lease/fencing/fencing.go", "if !g.InProgress || token != g.Token || operation != g.Operation {", "if !g.InProgress {", "TestSearch/an_operation_paused"},
	{"a token that doesn't grow", "registry/leases.go", "r.LastToken = max(r.LastToken+1, index)", "r.LastToken = max(r.LastToken, 1)", "TestLong"},
	{"a token by a count that a snapshot loses", "registry/leases.go" + explore.PlaceSeparator + "registry/registry.go",
		"r.LastToken = max(r.LastToken+1, index)" + explore.PlaceSeparator + "`json:\"token,omitempty\"`  // newest", "r.LastToken++" + explore.PlaceSeparator + "`json:\"-\"`  // newest", "TestLong"},
	{"an event applied whatever its token", "registry/leases.go", "if l == nil || l.Token != e.ExpectedToken {", "if l == nil {", "TestSearch/a_delayed_log,_proposed"},
	{"renewed while it is revoked", "lease/lessor/renew.go", "if state.Holder != id || state.released || state.revoking {", "if state.Holder != id || state.released {", "TestSearch/a_delayed_log,_clocks"},
	{"renewed after it was released", "lease/lessor/renew.go" + explore.PlaceSeparator + "lease/lessee/renewal.go",
		"if state.Holder != id || state.released || state.revoking {" + explore.PlaceSeparator + "ref.Token < h.token || ref.Token <= l.released[ref.Key] {",
		"if state.Holder != id {" + explore.PlaceSeparator + "ref.Token < h.token {", "TestSearch/released"},
	{"kept in use after it was released", "lease/lessee/renewal.go" + explore.PlaceSeparator + "lease/lessee/operation.go", "\tdelete(l.held, k) // before the release is reported (step 8)\n" + explore.PlaceSeparator + "task == nil || h.recalled ||",
		explore.PlaceSeparator + "task == nil ||", "TestSearch/released"},
	{"released during an operation", "lease/lessee/renewal.go", "!holds || !h.recalled || busy {", "!holds || !h.recalled || busy && false {", "TestSearch/migrated_during"},
	{"a migration that doesn't wait for the holder", "lease/lessor/plan.go", "leaseEnded := state.Holder == \"\" || state.released || now >= state.expiresAt &&",
		"leaseEnded := state.Holder == \"\" || state.released || state.NextHolder != \"\" || now >= state.expiresAt &&", "TestSearch/migrated"},
	{"an old renewal accepted, whatever token it releases", "lease/lessor/renew.go", "case req.Seq <= m.lastSeq:" + explore.PlaceSeparator + "state.Holder == id && state.Token == ref.Token { // step 8",
		"case false:" + explore.PlaceSeparator + "state.Holder == id { // step 8", "TestSearch/released,_a_late"},
	{"the lease of an unresponsive holder treated as ended", "lease/lessor/plan.go", "now >= state.expiresAt && (state.revoking || unresponsive ||", "(unresponsive || now >= state.expiresAt) && (state.revoking || unresponsive ||", "TestSearch/leaders"},
	{"delivered, and recorded as not delivered", "lease/lessor/renew.go", "state.expiresAt, state.maybeDelivered = now+l.leaseTTL(t), true", "state.expiresAt, state.maybeDelivered = now, false", "TestSearch/leaders"},
	{"a hung holder's lease reassigned at once", "lease/lessor/renew.go", "state.revoking = true // it expires by itself (step 10)", "state.revoking, state.released = true, true", "TestSearch/hangs"},
	{"an operation bounded by its length alone", "lease/lessee/operation.go", "|| now+task.OperationTimeout() > h.expiresAt {" + explore.PlaceSeparator + "now < h.expiresAt && now < op.Deadline", "{" + explore.PlaceSeparator + "now < op.Deadline",
		"TestSearch/an_operation_that_begins"},
	{"an operation that is not bounded", "lease/lessee/operation.go", "now < h.expiresAt && now < op.Deadline &&", "", "TestSearch/an_operation_paused"},
	{"an operation that goes on under another token", "lease/lessee/operation.go", "return holds && h.token == op.Token && now < h.expiresAt && now < op.Deadline", "return holds && now < h.expiresAt", "TestSearch/an_operation_under"},
	{"a round that began before the decision confirms it", "readindex/queue.go", "pendingAnswer[T]{q.roundNumber + 1, term, answer}", "pendingAnswer[T]{q.roundNumber, term, answer}", "TestSearch/a_replaced_leader_with"},
	{"a later term counted as agreement", "readindex/queue.go", "if t <= ownTerm {", "if t > 0 {", "TestSearch/a_replaced_leader,"},
	{"a hung holder's lease kept", "lease/lessor/renew.go", "if state.maybeDelivered && now-state.lastProgressAt >=", "if false && now-state.lastProgressAt >=", "TestHungHolder"},
	{"a lease ended by reports of other processes", "lease/lessor/plan.go", "leaseEnded := state.Holder == \"\" || state.released || now >= state.expiresAt &&", "leaseEnded := state.Holder == \"\" || state.released || dead[state.Holder] || now >= state.expiresAt &&",
		"TestSearch/(three|all_report)"},
}
