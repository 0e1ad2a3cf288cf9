package readindex

import (
	"slices"
	"testing"
)

// TestDesk keeps decisions back until a question that was asked after them, in their own term, is answered.
func TestDesk(t *testing.T) {
	var q Queue[string]
	if _, due := q.StartRound(5); due {
		t.Error("a question that nobody waits for")
	}
	q.Add(5, "a")
	first, due := q.StartRound(5)
	if !due {
		t.Fatal("no question")
	}
	q.Add(5, "b") // may have come after the answer
	if _, due := q.StartRound(5); due {
		t.Error("two questions at a time")
	}
	if done, void := q.FinishRound(first); !slices.Equal(done, []string{"a"}) || void != nil {
		t.Errorf("first: %v, %v void", done, void)
	}
	q.Add(7, "c")
	second, _ := q.StartRound(7) // the agent has lost its lead and leads again
	if done, void := q.FinishRound(second); !slices.Equal(done, []string{"c"}) || !slices.Equal(void, []string{"b"}) {
		t.Errorf("of another term: %v, %v void", done, void)
	}
	if done, void := q.FinishRound(second); done != nil || void != nil || len(q.Waiting()) != 0 {
		t.Errorf("heard twice: %v, %v void", done, void)
	}
}

func TestMajority(t *testing.T) {
	for _, c := range []struct {
		others []uint64
		agents int
		want   bool
	}{{nil, 1, true}, {nil, 3, false}, {[]uint64{5}, 3, true}, {[]uint64{4}, 3, true}, {[]uint64{6}, 3, false}, {[]uint64{6, 5}, 3, true},
		{[]uint64{5}, 5, false}, {[]uint64{5, 5}, 5, true}, {[]uint64{5}, 2, true}, {nil, 2, false}} {
		if got := MajorityAgrees(5, c.others, c.agents); got != c.want {
			t.Errorf("term 5, others %v of %d agents: %v", c.others, c.agents, got)
		}
	}
}
