package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"spindlehitch/internal/controlplane/agent"
)

// Operation is one call on one key of the agents' configurations.
type Operation struct {
	Kind      OperationKind
	Key       string
	Value     int    // written by a put; unique in its history
	Condition int64  // version that a put or delete requires; noCondition: any
	After     uint64 // version after which a waiting read waits; 0: it does not wait
}

// OperationKind is what an operation does.
type OperationKind string

// Kinds of operations.
const (
	OperationGet    OperationKind = "get"
	OperationList   OperationKind = "list" // a get of each key's version
	OperationPut    OperationKind = "put"
	OperationDelete OperationKind = "delete"
)

// noCondition is the Condition of a write that does not depend on the version before it.
const noCondition = -1

// operationTimeout is the time for one call of one agent.
const operationTimeout = time.Second

// Result is the answer to an operation.
type Result struct {
	Outcome Outcome
	Version uint64 // of what was read or written; 0: there is nothing
	Value   int    // that a get read
}

// Outcome is how an operation ended.
type Outcome string

// Outcomes of operations.
const (
	OutcomeOK        Outcome = "ok"
	OutcomeUnchanged Outcome = "unchanged" // a waiting read's version was still the latest
	OutcomeConflict  Outcome = "conflict"  // the condition was not met
	OutcomeUnknown   Outcome = "unknown"   // a write may have been made, or may still be made
	OutcomeNone      Outcome = "none"      // no effect
)

// History records the operations of clients and their results. It is safe for concurrent use. mu guards the fields
// below it.
type History struct {
	began time.Time

	mu          sync.Mutex
	operations  []porcupine.Operation
	versions    map[int]uint64 // of each value whose version a client learned
	acked       int
	lastWrite   time.Duration // acknowledged
	longestGap  time.Duration // between two acknowledged writes
	gapEndedAt  time.Duration
	readsOK     int
	readsFailed int
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{began: time.Now(), versions: map[int]uint64{}} }

// String summarizes the history.
func (h *History) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("%d reads answered, %d not; %d writes acknowledged; longest time without one %v, until %v",
		h.readsOK, h.readsFailed, h.acked, h.longestGap.Round(time.Millisecond), h.gapEndedAt.Round(time.Millisecond))
}

// Gap is a period without an acknowledged write, relative to the begin of the history.
type Gap struct{ From, To time.Duration }

// LongestGap returns the longest period between two acknowledged writes.
func (h *History) LongestGap() Gap {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Gap{h.gapEndedAt - h.longestGap, h.gapEndedAt}
}

// record adds an operation that was called at that time and has just returned.
func (h *History) record(client int, op Operation, call time.Duration, r Result) {
	end := time.Since(h.began)
	h.mu.Lock()
	defer h.mu.Unlock()
	write := op.Kind == OperationPut || op.Kind == OperationDelete
	switch {
	case r.Outcome == OutcomeNone && !write:
		h.readsFailed++
		return
	case r.Outcome == OutcomeNone:
		return
	case !write:
		h.readsOK++
	case r.Outcome == OutcomeOK:
		h.acked++
		if gap := end - h.lastWrite; h.lastWrite > 0 && gap > h.longestGap {
			h.longestGap, h.gapEndedAt = gap, end
		}
		h.lastWrite = end
	}
	switch {
	case op.Kind == OperationPut && r.Outcome == OutcomeOK:
		h.versions[op.Value] = r.Version
	case op.Kind == OperationGet && r.Outcome == OutcomeOK && r.Version > 0:
		h.versions[r.Value] = r.Version
	}
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: op, Call: int64(call), Output: r, Return: int64(end)})
}

// Check returns an error unless the operations on each key are linearizable.
func (h *History) Check(within time.Duration) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	keys := map[string][]porcupine.Operation{}
	for _, op := range h.operations {
		key := op.Input.(Operation).Key
		keys[key] = append(keys[key], op)
	}
	model := h.model()
	for key, all := range keys {
		operations := settle(all, int64(time.Since(h.began)))
		if result, info := porcupine.CheckOperationsVerbose(model, operations, within); result != porcupine.Ok {
			return fmt.Errorf("key %s: %d operations are not linearizable: %s%s", key, len(operations), result, describe(model, operations, info))
		}
	}
	return nil
}

// settle returns the operations on a key with the outcome of unknown writes resolved as far as reads show it, since the
// checker's work grows with each write that may take effect at any time. A put whose value was read took effect before
// the first such read returned. A put whose value nobody read can only have shown in a conflict or in a list: it is
// left out, and so are the conflicts and lists that it may explain.
func settle(all []porcupine.Operation, end int64) (operations []porcupine.Operation) {
	readAt := map[int]int64{}            // by value: return of the first read of it
	versions := map[uint64]bool{0: true} // versions whose values are known
	for _, op := range all {
		in, r := op.Input.(Operation), op.Output.(Result)
		if r.Outcome != OutcomeOK || in.Kind == OperationList {
			continue
		}
		versions[r.Version] = true
		if at, found := readAt[r.Value]; in.Kind == OperationGet && (!found || op.Return < at) {
			readAt[r.Value] = op.Return
		}
	}
	lostFrom := end // call of the first put whose value nobody read
	for _, op := range all {
		in := op.Input.(Operation)
		if _, read := readAt[in.Value]; !read && in.Kind == OperationPut && op.Output.(Result).Outcome == OutcomeUnknown {
			lostFrom = min(lostFrom, op.Call)
		}
	}
	for _, op := range all {
		in, r := op.Input.(Operation), op.Output.(Result)
		at, read := readAt[in.Value]
		switch {
		case in.Kind == OperationList && !versions[r.Version], r.Outcome == OutcomeConflict && op.Return > lostFrom:
			continue
		case r.Outcome != OutcomeUnknown:
		case in.Kind == OperationDelete:
			op.Return = end
		case !read:
			continue
		default:
			op.Return, op.Output = at, Result{Outcome: OutcomeOK}
		}
		operations = append(operations, op)
	}
	return operations
}

// describe lists the operations around the first one that no partial linearization contains.
func describe(model porcupine.Model, operations []porcupine.Operation, info porcupine.LinearizationInfo) string {
	longest := 0
	for _, partition := range info.PartialLinearizations() {
		for _, linearization := range partition {
			longest = max(longest, len(linearization))
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "; the longest partial linearization has %d", longest)
	for _, op := range operations[max(0, longest-20):min(len(operations), longest+20)] {
		fmt.Fprintf(&b, "\n%v to %v, client %d: %s", time.Duration(op.Call), time.Duration(op.Return), op.ClientId, model.DescribeOperation(op.Input, op.Output))
	}
	return b.String()
}

// model specifies one key of the agents' configurations. Its state is the value, 0 if there is none. Values are unique,
// so each has one version; a value whose version no client learned cannot be the condition of a write.
func (h *History) model() porcupine.Model {
	version := func(value int) uint64 { return h.versions[value] }
	return porcupine.Model{
		Init: func() any { return 0 },
		Step: func(state, in, out any) (bool, any) {
			value, op, r := state.(int), in.(Operation), out.(Result)
			switch op.Kind {
			case OperationGet:
				if r.Outcome == OutcomeUnchanged {
					return value != 0 && version(value) == op.After, value
				}
				return value == r.Value && version(value) == r.Version, value
			case OperationList:
				return version(value) == r.Version && (value == 0) == (r.Version == 0), value
			case OperationPut, OperationDelete:
				holds := op.Condition == noCondition || version(value) == uint64(op.Condition) && (value == 0) == (op.Condition == 0)
				switch {
				case r.Outcome == OutcomeConflict:
					return !holds, value
				case !holds:
					return r.Outcome == OutcomeUnknown, value
				}
				return true, op.Value
			}
			return false, value
		},
		DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v: %+v", in, out) },
	}
}

// KeyClient makes random operations on a few keys at random agents, one at a time, and records them in History. It does
// not follow redirects: it takes them as a hint which agent to call next.
type KeyClient struct {
	ID      int
	History *History
	Addrs   []string
	rng     *rand.Rand
	http    http.Client
	seen    map[string]uint64 // newest version of each key that it learned
	leader  string            // agent that it was last redirected to or answered by
	values  int
}

// NewKeyClient returns a client whose choices follow from the seed.
func NewKeyClient(id int, seed uint64, h *History, addrs []string) *KeyClient {
	c := &KeyClient{ID: id, History: h, Addrs: addrs, rng: rand.New(rand.NewPCG(seed, uint64(id))), seen: map[string]uint64{}}
	c.http.Transport = &http.Transport{}
	c.http.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return c
}

// maxClientValues bounds the values that one client writes, so that values are unique over all clients.
const maxClientValues = 1 << 20

// Step makes one random operation on one of the keys and records it.
func (c *KeyClient) Step(ctx context.Context, keys []string) {
	op := Operation{Key: keys[c.rng.IntN(len(keys))], Condition: noCondition}
	switch n := c.rng.IntN(100); {
	case n < 45:
		op.Kind = OperationGet
	case n < 55:
		op.Kind, op.After = OperationGet, c.seen[op.Key]
	case n < 65:
		op.Kind = OperationList
	case n < 95:
		c.values++
		op.Kind, op.Value = OperationPut, c.ID*maxClientValues+c.values
	default:
		op.Kind = OperationDelete
	}
	if (op.Kind == OperationPut || op.Kind == OperationDelete) && c.rng.IntN(2) == 0 {
		op.Condition = int64(c.seen[op.Key])
	}
	call := time.Since(c.History.began)
	if op.Kind == OperationList {
		c.list(ctx, op, keys, call)
		return
	}
	r := c.do(ctx, op)
	if r.Outcome == OutcomeOK {
		c.seen[op.Key] = r.Version
	}
	if op.Kind == OperationDelete && r.Outcome == OutcomeOK {
		c.seen[op.Key] = 0
	}
	c.History.record(c.ID, op, call, r)
}

// request sends one request to the agent that the client takes for the leader, or to a random one.
func (c *KeyClient) request(ctx context.Context, method, path string, condition int64, body string) (status int, text []byte, err error) {
	ctx, done := context.WithTimeout(ctx, operationTimeout)
	defer done()
	addr := c.leader
	if addr == "" || c.rng.IntN(4) == 0 {
		addr = c.Addrs[c.rng.IntN(len(c.Addrs))]
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if condition != noCondition {
		req.Header.Set("If-Version", fmt.Sprint(condition))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.leader = ""
		return 0, nil, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusTemporaryRedirect:
		if at, err := resp.Location(); err == nil {
			c.leader = c.reachable(at.Host)
		}
	case http.StatusServiceUnavailable:
		c.leader = ""
	default:
		c.leader = addr
	}
	text, err = io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}

// reachable returns a leader's address if it is one that the client may call, else an empty string: agents behind links
// redirect to the addresses of their own links.
func (c *KeyClient) reachable(addr string) string {
	for _, a := range c.Addrs {
		if a == addr {
			return a
		}
	}
	return ""
}

// unconfirmed is the prefix of the response to a write that may still be made.
const unconfirmed = "not confirmed"

// do makes a get, a put or a delete.
func (c *KeyClient) do(ctx context.Context, op Operation) Result {
	path, method, body := "/v1/instances/"+op.Key, http.MethodGet, ""
	switch op.Kind {
	case OperationPut:
		method, body = http.MethodPut, configuration(op.Key, op.Value)
	case OperationDelete:
		method = http.MethodDelete
	case OperationGet:
		if op.After > 0 {
			path += fmt.Sprintf("?after=%d&wait_ms=200", op.After)
		}
	}
	status, text, err := c.request(ctx, method, path, op.Condition, body)
	failed := Result{Outcome: OutcomeNone}
	if op.Kind != OperationGet && (err != nil || strings.HasPrefix(string(text), unconfirmed)) {
		failed.Outcome = OutcomeUnknown
	}
	switch {
	case err != nil:
		return failed
	case status == http.StatusOK:
		var entry agent.Entry
		if json.Unmarshal(text, &entry) != nil {
			return failed
		}
		var written struct{ Pad int }
		if len(entry.Config) > 0 && json.Unmarshal(entry.Config, &written) != nil {
			return failed
		}
		return Result{OutcomeOK, entry.Version, written.Pad}
	case status == http.StatusNoContent:
		return Result{Outcome: OutcomeUnchanged}
	case status == http.StatusNotFound && op.Kind == OperationGet:
		return Result{Outcome: OutcomeOK}
	case status == http.StatusConflict:
		return Result{Outcome: OutcomeConflict}
	}
	return failed
}

// list reads the versions of all keys in one call.
func (c *KeyClient) list(ctx context.Context, op Operation, keys []string, call time.Duration) {
	status, text, err := c.request(ctx, http.MethodGet, "/v1/instances", noCondition, "")
	var versions map[string]uint64
	ok := err == nil && status == http.StatusOK && json.Unmarshal(text, &versions) == nil
	for _, key := range keys {
		op.Key = key
		r := Result{Outcome: OutcomeNone}
		if ok {
			r = Result{Outcome: OutcomeOK, Version: versions[key]}
		}
		c.History.record(c.ID, op, call, r)
	}
}

// configuration returns the configuration of an instance that an agent accepts, with a value in it.
func configuration(name string, value int) string {
	return fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","pad":%d,"settings":{"peersTotal":1,"tickUs":2000,
 "classes":[{"name":"read","promiseUs":500000,"deadlineUs":2000000,"effect":"pure","worth":1}],
 "contracts":[{"name":"base","usualRate":1000,"parts":1,"pays":1}],"extra":{"meanUnits":1,"largest":8}}}`, name, value)
}
