package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"spindlehitch/internal/policy"
)

const optionsJSON = `{"peersTotal":1,"tickUs":1000,"surprise":7,"classes":[{"name":"get","promiseUs":400000,` +
	`"deadlineUs":2000000,"effect":"pure","worth":1}],"contracts":[{"name":"std","usualRate":10,"pays":1}],` +
	`"extra":{"meanUnits":1,"largest":1},"registryMode":"pushed"}`

const startEvent = `{"type":"start","initiatorId":"i_0","initSeed":18446744073709551615,"options":` + optionsJSON + `}`

const listEvent = `{"type":"members","initiatorId":"i_0","mode":"whole","gen":1,"records":[{"target":"n","cohort":0,"mode":"up"}]}`

// batchLine returns an input line with these events.
func batchLine(frame int, events ...string) string {
	return fmt.Sprintf(`{"wallUs":%d,"frame":%d,"inbox":[%s]}`+"\n", 1000000+frame*1000, frame, strings.Join(events, ","))
}

// requestEvent returns a newRequest event without the field omit.
func requestEvent(omit string) string {
	fields := []string{`"rid":"r1"`, `"tier":"std"`, `"vol":"v"`, `"grade":"get"`, `"budgetUs":900000`, `"weight":1`,
		`"groupNo":0`, `"chunk":"k"`, `"writers":1`}
	out := `{"type":"newRequest","initiatorId":"i_0"`
	for _, f := range fields {
		if !strings.HasPrefix(f, `"`+omit+`"`) {
			out += "," + f
		}
	}
	return out + "}"
}

func TestRequestIsSent(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader(batchLine(1, startEvent, listEvent)+batchLine(2, requestEvent(""))), &out); err != nil {
		t.Fatal(err)
	}
	want := `"type":"relay","initiatorId":"i_0","rid":"r1","target":"n","maxWaitUs":900000`
	if got := out.String(); !strings.Contains(got, want) || !strings.HasPrefix(got, `{"frame":1,"outbox":[`) {
		t.Fatalf("replies %s, want one with %s", got, want)
	}
}

// TestHoldOff checks that a rejection carries the scheduler's delay before a client's retry. Here a rejected request is sent again after its
// class's latency objective has passed; the delay must cover the rest of the client's time budget.
func TestHoldOff(t *testing.T) {
	at := func(us, frame int, event string) string {
		return fmt.Sprintf(`{"wallUs":%d,"frame":%d,"inbox":[%s]}`+"\n", us, frame, event)
	}
	first := strings.Replace(requestEvent(""), `"groupNo":0`, `"groupNo":5`, 1) // no target serves this shard
	retry := strings.NewReplacer(`"r1"`, `"r2"`, "900000", "300000").Replace(first)
	var out bytes.Buffer
	in := at(1000000, 1, startEvent+","+listEvent) + at(1001000, 2, first) +
		at(1500000, 3, `{"type":"reminder","initiatorId":"i_0","keyBack":"step"}`) + at(1600000, 4, retry)
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"type":"decline","initiatorId":"i_0","rid":"r1"`,
		`"type":"decline","initiatorId":"i_0","rid":"r2","holdOffUs":300000`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("replies %s, want one with %s", out.String(), want)
		}
	}
}

// TestMalformed checks the error for each kind of invalid input.
func TestMalformed(t *testing.T) {
	result := func(code string) string {
		return `{"type":"result","initiatorId":"i_0","rid":"r1","leg":0,"target":"n","stateCode":"` + code +
			`","spentUs":5,"complete":true}`
	}
	for _, c := range []struct{ name, in, want string }{
		{"not JSON", "nonsense\n", "decoding batch"},
		{"no wallUs", `{"frame":1,"inbox":[]}`, "wallUs: required field is missing"},
		{"no frame", `{"wallUs":1,"inbox":[]}`, "frame: required field is missing"},
		{"no inbox", `{"wallUs":1,"frame":1}`, "inbox: required field is missing"},
		{"no type", batchLine(1, `{"initiatorId":"i_0"}`), "type: required field is missing"},
		{"no instance", batchLine(1, `{"type":"reminder"}`), "initiatorId: required field is missing"},
		{"unknown event", batchLine(1, startEvent, `{"type":"gossip","initiatorId":"i_0"}`), `unknown event "gossip"`},
		{"no start", batchLine(1, listEvent), `instance "i_0" has no start`},
		{"no seed", batchLine(1, strings.Replace(startEvent, "initSeed", "seed", 1)), "initSeed: required field is missing"},
		{"broken seed", batchLine(1, strings.Replace(startEvent, "18446744073709551615", "1.5", 1)), "initSeed"},
		{"no options", batchLine(1, strings.Replace(startEvent, "options", "opts", 1)), "options: required field is missing"},
		{"no peers", batchLine(1, strings.Replace(startEvent, "peersTotal", "peers", 1)), "options.peersTotal"},
		{"invalid options", batchLine(1, strings.Replace(startEvent, `"promiseUs":400000`, `"promiseUs":0`, 1)), "needs an aim"},
		{"unknown effect", batchLine(1, strings.Replace(startEvent, "pure", "odd", 1)), `effect: unknown effect "odd"`},
		{"unknown group", batchLine(1, strings.Replace(startEvent, `"pure"`, `"token","group":"odd"`, 1)), `unknown group "odd"`},
		{"unknown outcome", batchLine(1, startEvent, result("odd")), `unknown outcome "odd"`},
		{"wrong type", batchLine(1, startEvent, strings.Replace(requestEvent(""), "900000", `"soon"`, 1)), "budgetUs"},
		{"no list kind", batchLine(1, startEvent, strings.Replace(listEvent, `"mode":"whole",`, "", 1)), "mode: required field"},
		{"unknown list kind", batchLine(1, startEvent, strings.Replace(listEvent, "whole", "odd", 1)), `unknown list kind "odd"`},
		{"entry without shard", batchLine(1, startEvent, strings.Replace(listEvent, `"cohort":0,`, "", 1)), "records[0]: cohort"},
		{"unknown state", batchLine(1, startEvent, strings.Replace(listEvent, `"up"`, `"odd"`, 1)), `unknown state "odd"`},
		{"response start without id", batchLine(1, startEvent, `{"type":"underWay","initiatorId":"i_0"}`), "rid: required field"},
		{"client disconnect without id", batchLine(1, startEvent, `{"type":"clientGone","initiatorId":"i_0"}`), "rid: required field"},
	} {
		err := run(strings.NewReader(c.in), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q in it", c.name, err, c.want)
		}
	}
	for _, f := range []string{"rid", "tier", "vol", "grade", "budgetUs", "weight", "groupNo"} {
		err := run(strings.NewReader(batchLine(1, startEvent, requestEvent(f))), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), f+": required field is missing") {
			t.Errorf("request without %s: error %v", f, err)
		}
	}
}

func TestClosedInput(t *testing.T) {
	if err := run(strings.NewReader(""), &bytes.Buffer{}); err != nil {
		t.Fatalf("closed input: %v", err)
	}
}

// FuzzDecode checks that no input makes the adapter or the scheduler panic.
func FuzzDecode(f *testing.F) {
	f.Add(batchLine(2, requestEvent("")))
	f.Add(batchLine(2, listEvent, `{"type":"result","initiatorId":"i_0","rid":"r1","leg":0,"target":"n","stateCode":"shed","spentUs":1,"complete":false}`))
	f.Add("{}")
	f.Fuzz(func(t *testing.T, in string) {
		var out bytes.Buffer
		_ = run(strings.NewReader(batchLine(1, startEvent, listEvent)+in), &out)
		if strings.Contains(out.String(), `"internalError"`) {
			t.Fatalf("the scheduler panicked: %s", out.String())
		}
	})
}

// TestLoadReport checks the conversion of a target's load report: absent fields stay absent and unknown ones are ignored.
func TestLoadReport(t *testing.T) {
	for _, c := range []struct {
		in   string
		want *policy.Load
	}{
		{`null`, nil},
		{`{}`, &policy.Load{Queued: -1, InFlight: -1}},
		{`{"depth":3,"odd":9}`, &policy.Load{Queued: 3, InFlight: -1}},
		{`{"concurrent":0.5,"load_share":1}`, &policy.Load{Queued: -1, InFlight: 0.5}},
	} {
		var e event
		in := `{"type":"result","rid":"r","leg":0,"target":"n","stateCode":"delivered","spentUs":5,"complete":true,"serverStats":` +
			c.in + `}`
		if err := json.Unmarshal([]byte(in), &e); err != nil {
			t.Fatal(err)
		}
		ev, err := decode(&e)
		if err != nil {
			t.Fatal(err)
		}
		if got := ev.(policy.Outcome).Load; (got == nil) != (c.want == nil) || got != nil && *got != *c.want {
			t.Errorf("%s: %+v, want %+v", c.in, got, c.want)
		}
	}
}
