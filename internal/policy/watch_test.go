package policy

import (
	"slices"
	"testing"
	"time"
)

// TestWatched has a node avoided after errors, and others tell what they found out: what is older than its last answer, or about a node
// that is not avoided, changes nothing; that it is well lets a trial go now, that it is not bars it until the next try.
func TestWatched(t *testing.T) {
	s, err := New(Settings{Initiators: 2, Classes: []Class{{Name: "read", Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}},
		Plans: []Plan{{Name: "p", Rate: 100, Price: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(time.Second, []Event{NodeList{Whole: true, Nodes: []Node{{ID: "bad"}, {ID: "good", Shard: 1}}}})
	bad, good := s.byID["bad"], s.byID["good"]
	bad.streak, bad.heard, bad.openAt = 4, 5*time.Second, 12*time.Second
	for i, c := range []struct {
		e    Watched
		want time.Duration
	}{
		{Watched{Node: "bad", Well: true, Ago: 6 * time.Second}, 12 * time.Second}, // before its last answer
		{Watched{Node: "bad", Ago: time.Second, Next: 2 * time.Second}, 12 * time.Second},
		{Watched{Node: "bad", Ago: time.Second, Next: 5 * time.Second}, 14 * time.Second},
		{Watched{Node: "bad", Well: true, Ago: time.Second}, 10 * time.Second},
		{Watched{Node: "gone", Well: true}, 10 * time.Second},
	} {
		s.Step(10*time.Second, []Event{c.e})
		if bad.openAt != c.want {
			t.Errorf("%d: open at %v, wanted %v", i, bad.openAt, c.want)
		}
	}
	if s.Step(10*time.Second, []Event{Watched{Node: "good", Next: time.Minute}}); good.openAt != 0 {
		t.Errorf("a node that is not avoided is barred until %v", good.openAt)
	}
	if ids := s.AvoidedNodes(); !slices.Equal(ids, []string{"bad"}) || s.Avoided() != 1 {
		t.Errorf("avoided %v, %d", ids, s.Avoided())
	}
}
