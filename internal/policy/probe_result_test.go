package policy

import (
	"slices"
	"testing"
	"time"
)

// TestWatched has a node avoided after errors, and others tell what they found out: what is older than its last answer, or about a node
// that is not avoided, changes nothing; that it is well lets a trial go now, that it is not bars it until the next try.
func TestWatched(t *testing.T) {
	s, err := New(Settings{Initiators: 2, Classes: []Class{{Name: "read", LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1}},
		Plans: []Plan{{Name: "p", Rate: 100, PriorityFactor: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(time.Second, []Event{EndpointList{Full: true, Endpoints: []Endpoint{{ID: "bad"}, {ID: "good", Shard: 1}}}})
	bad, good := s.byID["bad"], s.byID["good"]
	bad.failureStreak, bad.lastAnswerAt, bad.blockedUntil = 4, 5*time.Second, 12*time.Second
	for i, c := range []struct {
		e    ProbeResult
		want time.Duration
	}{
		{ProbeResult{Endpoint: "bad", Healthy: true, Age: 6 * time.Second}, 12 * time.Second}, // before its last answer
		{ProbeResult{Endpoint: "bad", Age: time.Second, NextProbe: 2 * time.Second}, 12 * time.Second},
		{ProbeResult{Endpoint: "bad", Age: time.Second, NextProbe: 5 * time.Second}, 14 * time.Second},
		{ProbeResult{Endpoint: "bad", Healthy: true, Age: time.Second}, 10 * time.Second},
		{ProbeResult{Endpoint: "gone", Healthy: true}, 10 * time.Second},
	} {
		s.Step(10*time.Second, []Event{c.e})
		if bad.blockedUntil != c.want {
			t.Errorf("%d: open at %v, wanted %v", i, bad.blockedUntil, c.want)
		}
	}
	if s.Step(10*time.Second, []Event{ProbeResult{Endpoint: "good", NextProbe: time.Minute}}); good.blockedUntil != 0 {
		t.Errorf("a node that is not avoided is barred until %v", good.blockedUntil)
	}
	if ids := s.EjectedEndpoints(); !slices.Equal(ids, []string{"bad"}) || s.EjectedCount() != 1 {
		t.Errorf("avoided %v, %d", ids, s.EjectedCount())
	}
}
