package policy

import (
	"slices"
	"testing"
	"time"
)

// TestProbeResults applies probe results to an endpoint that is ejected after errors. A result that is older than its last answer, or
// for an endpoint that is not ejected, changes nothing. A healthy result unblocks the endpoint now, an unhealthy one blocks it until
// the next probe.
func TestProbeResults(t *testing.T) {
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
			t.Errorf("%d: blocked until %v, want %v", i, bad.blockedUntil, c.want)
		}
	}
	if s.Step(10*time.Second, []Event{ProbeResult{Endpoint: "good", NextProbe: time.Minute}}); good.blockedUntil != 0 {
		t.Errorf("an endpoint that is not ejected is blocked until %v", good.blockedUntil)
	}
	if ids := s.EjectedEndpoints(); !slices.Equal(ids, []string{"bad"}) || s.EjectedCount() != 1 {
		t.Errorf("ejected %v, count %d", ids, s.EjectedCount())
	}
}
