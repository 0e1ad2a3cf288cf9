package readindex

import (
	"slices"
	"testing"
)

// TestQueue checks that answers are held until a round of their own term that started after them ends.
func TestQueue(t *testing.T) {
	var q Queue[string]
	if _, due := q.StartRound(5); due {
		t.Error("a round started without a waiting answer")
	}
	q.Add(5, "a")
	first, due := q.StartRound(5)
	if !due {
		t.Fatal("no round started for a waiting answer")
	}
	q.Add(5, "b") // agents may have replied before this
	if _, due := q.StartRound(5); due {
		t.Error("a second round started while one was pending")
	}
	if covered, stale := q.FinishRound(first); !slices.Equal(covered, []string{"a"}) || stale != nil {
		t.Errorf("first round: covered %v, stale %v", covered, stale)
	}
	q.Add(7, "c")
	second, _ := q.StartRound(7) // the agent lost its leadership and was elected again
	if covered, stale := q.FinishRound(second); !slices.Equal(covered, []string{"c"}) || !slices.Equal(stale, []string{"b"}) {
		t.Errorf("round in another term: covered %v, stale %v", covered, stale)
	}
	if covered, stale := q.FinishRound(second); covered != nil || stale != nil || len(q.Waiting()) != 0 {
		t.Errorf("round finished twice: covered %v, stale %v", covered, stale)
	}
}

func TestMajorityAgrees(t *testing.T) {
	for _, c := range []struct {
		others []uint64
		agents int
		want   bool
	}{{nil, 1, true}, {nil, 3, false}, {[]uint64{5}, 3, true}, {[]uint64{4}, 3, true}, {[]uint64{6}, 3, false}, {[]uint64{6, 5}, 3, true},
		{[]uint64{5}, 5, false}, {[]uint64{5, 5}, 5, true}, {[]uint64{5}, 2, true}, {nil, 2, false}} {
		if got := MajorityAgrees(5, c.others, c.agents); got != c.want {
			t.Errorf("leader in term 5, others in %v, %d agents: %v", c.others, c.agents, got)
		}
	}
}
