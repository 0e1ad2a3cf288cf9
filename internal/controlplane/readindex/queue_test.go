package readindex

import (
	"slices"
	"testing"
)

// TestDesk keeps decisions back until a question that was asked after them, in their own term, is answered.
func TestDesk(t *testing.T) {
	var d Queue[string]
	if _, due := d.StartRound(5); due {
		t.Error("a question that nobody waits for")
	}
	d.Add(5, "a")
	first, due := d.StartRound(5)
	if !due {
		t.Fatal("no question")
	}
	d.Add(5, "b") // may have come after the answer
	if _, due := d.StartRound(5); due {
		t.Error("two questions at a time")
	}
	if done, void := d.FinishRound(first); !slices.Equal(done, []string{"a"}) || void != nil {
		t.Errorf("first: %v, %v void", done, void)
	}
	d.Add(7, "c")
	second, _ := d.StartRound(7) // the agent has lost its lead and leads again
	if done, void := d.FinishRound(second); !slices.Equal(done, []string{"c"}) || !slices.Equal(void, []string{"b"}) {
		t.Errorf("of another term: %v, %v void", done, void)
	}
	if done, void := d.FinishRound(second); done != nil || void != nil || len(d.Waiting()) != 0 {
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
