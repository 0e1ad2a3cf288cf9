package main

import (
	"encoding/json"
	"fmt"
	"time"

	"spindlehitch/internal/policy"
	"spindlehitch/internal/process/config"
)

// batch is one input line; a nil field was absent or null.
type batch struct {
	WallUs *int64            `json:"wallUs"`
	Frame  *int64            `json:"frame"`
	Inbox  []json.RawMessage `json:"inbox"`
}

// event is any wire event; a nil field was absent or null.
type event struct {
	Type        *string                  `json:"type"`
	InitiatorID *string                  `json:"initiatorId"`
	InitSeed    *json.Number             `json:"initSeed"`
	Options     *config.PlatformSettings `json:"options"`
	Mode        *string                  `json:"mode"`
	Records     []record                 `json:"records"`
	Rid         *string                  `json:"rid"`
	Tier        *string                  `json:"tier"`
	Writers     *float64                 `json:"writers"`
	Chunk       *string                  `json:"chunk"`
	Vol         *string                  `json:"vol"`
	BudgetUs    *int64                   `json:"budgetUs"`
	Weight      *float64                 `json:"weight"`
	Grade       *string                  `json:"grade"`
	GroupNo     *int                     `json:"groupNo"`
	Leg         *int                     `json:"leg"`
	Target      *string                  `json:"target"`
	StateCode   *string                  `json:"stateCode"`
	SpentUs     *int64                   `json:"spentUs"`
	Complete    *bool                    `json:"complete"`
	Used        *int                     `json:"used"`
	ServerStats *loadReport              `json:"serverStats"`
}

// loadReport is a target's load report; a nil field was absent.
type loadReport struct {
	Depth      *float64 `json:"depth"`
	Concurrent *float64 `json:"concurrent"`
}

// record is an entry of a list of targets; a nil field was absent or null.
type record struct {
	Target        *string `json:"target"`
	FailureDomain string  `json:"failureDomain"`
	Cohort        *int    `json:"cohort"`
	Mode          *string `json:"mode"`
	LaunchedUs    *int64  `json:"launchedUs"`
}

// action is a decision of the scheduler as sent to the bench.
type action struct {
	Type        string `json:"type"`
	InitiatorID string `json:"initiatorId"`
	Rid         string `json:"rid,omitempty"`
	Target      string `json:"target,omitempty"`
	MaxWaitUs   int64  `json:"maxWaitUs,omitempty"`
	HoldOffUs   int64  `json:"holdOffUs,omitempty"`
	KeyBack     string `json:"keyBack,omitempty"`
	FromNowUs   int64  `json:"fromNowUs,omitempty"`
	On          bool   `json:"on,omitempty"`
	Message     string `json:"message,omitempty"`
}

// reply is the output line for the batch of the same frame.
type reply struct {
	Frame  int64    `json:"frame"`
	Outbox []action `json:"outbox"`
}

func missingField(field string) error { return config.MissingField(field) }

func microseconds(n int64) time.Duration { return config.Microseconds(n) }

// adapter runs the scheduler instances of one process. They share no state except the input and output streams.
type adapter struct {
	instances map[string]*policy.Scheduler
}

func newAdapter() *adapter { return &adapter{instances: map[string]*policy.Scheduler{}} }

// inbox holds the events of a batch for one instance, without those before its last start or shutdown.
type inbox struct {
	id     string
	events []policy.Event
}

// handle decodes one batch, steps the instances it names in order of first mention, and encodes the reply.
func (a *adapter) handle(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("decoding batch: %w", err)
	}
	switch {
	case b.WallUs == nil:
		return nil, missingField("wallUs")
	case b.Frame == nil:
		return nil, missingField("frame")
	case b.Inbox == nil:
		return nil, missingField("inbox")
	}
	var inboxes []*inbox
	byID := map[string]*inbox{}
	for i, raw := range b.Inbox {
		var e event
		if err := json.Unmarshal(raw, &e); err != nil {
			return nil, fmt.Errorf("event %d: %w", i, err)
		}
		if e.Type == nil {
			return nil, fmt.Errorf("event %d: %w", i, missingField("type"))
		}
		if e.InitiatorID == nil {
			return nil, fmt.Errorf("event %d (%s): %w", i, *e.Type, missingField("initiatorId"))
		}
		id := *e.InitiatorID
		in := byID[id]
		if in == nil {
			in = &inbox{id: id}
			byID[id] = in
			inboxes = append(inboxes, in)
		}
		if err := a.addEvent(in, &e); err != nil {
			return nil, fmt.Errorf("event %d (%s): %w", i, *e.Type, err)
		}
	}
	out := reply{Frame: *b.Frame, Outbox: []action{}}
	for _, in := range inboxes {
		out.Outbox = a.step(out.Outbox, in, microseconds(*b.WallUs))
	}
	return json.Marshal(out)
}

// addEvent appends one event to its instance's inbox; a start replaces the instance and a shutdown removes it, and both empty the inbox.
func (a *adapter) addEvent(in *inbox, e *event) error {
	switch *e.Type {
	case "start":
		if e.InitSeed == nil {
			return missingField("initSeed")
		}
		if e.Options == nil {
			return missingField("options")
		}
		seed, err := parseSeed(*e.InitSeed)
		if err != nil {
			return err
		}
		settings, err := e.Options.PolicySettings()
		if err != nil {
			return err
		}
		s, err := policy.New(settings, seed)
		if err != nil {
			return fmt.Errorf("options: %w", err)
		}
		a.instances[in.id], in.events = s, nil
		return nil
	case "shutdown":
		delete(a.instances, in.id)
		in.events = nil
		return nil
	}
	if a.instances[in.id] == nil {
		return fmt.Errorf("instance %q has no start", in.id)
	}
	ev, err := decode(e)
	if err != nil {
		return err
	}
	if ev != nil {
		in.events = append(in.events, ev)
	}
	return nil
}

// step runs one scheduler step of an instance and appends its actions to out; a panic in the scheduler becomes an internalError action.
func (a *adapter) step(out []action, in *inbox, now time.Duration) (done []action) {
	s := a.instances[in.id]
	if s == nil {
		return out
	}
	defer func() {
		if p := recover(); p != nil {
			done = append(out, action{Type: "internalError", InitiatorID: in.id, Message: fmt.Sprint(p)})
		}
	}()
	done = out
	for _, act := range s.Step(now, in.events) {
		done = append(done, encode(act, in.id))
	}
	return done
}

func encode(a policy.Action, id string) action {
	out := action{InitiatorID: id}
	switch a.Kind {
	case policy.Send:
		out.Type, out.Rid, out.Target, out.MaxWaitUs = "relay", a.Request, a.Endpoint, a.Wait.Microseconds()
	case policy.Reject:
		out.Type, out.Rid, out.HoldOffUs = "decline", a.Request, a.Wait.Microseconds()
	case policy.Fail:
		out.Type, out.Rid = "lose", a.Request
	case policy.SetTimer:
		out.Type, out.KeyBack, out.FromNowUs = "remind", "step", a.Wait.Microseconds()
	case policy.Subscribe:
		out.Type, out.On = "streamChanges", true
	case policy.Log:
		out.Type, out.Message = "trace", a.Text
	}
	return out
}

func parseSeed(n json.Number) (uint64, error) {
	if u, err := parseUint(n); err == nil {
		return u, nil
	}
	i, err := n.Int64()
	if err != nil {
		return 0, fmt.Errorf("initSeed: %q is not an integer", n)
	}
	return uint64(i), nil
}
