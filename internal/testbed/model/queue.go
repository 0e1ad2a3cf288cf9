package model

import "time"

// event is a callback that is scheduled for a time. Its cause is the number of the event that scheduled it.
type event struct {
	at     time.Duration
	number uint64
	cause  uint64
	what   string // kind of event, for traces; a constant
	on     int32  // number of the instance, target or agent
	do     func()
}

// queue is a 4-ary min-heap of events ordered by time, and by number where times are equal.
type queue []event

func (q queue) less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}

func (q *queue) push(e event) {
	*q = append(*q, e)
	h := *q
	for i := len(h) - 1; i > 0; {
		up := (i - 1) / 4
		if !h.less(i, up) {
			break
		}
		h[i], h[up] = h[up], h[i]
		i = up
	}
}

func (q *queue) pop() event {
	h := *q
	e, last := h[0], len(h)-1
	h[0] = h[last]
	h[last] = event{}
	h = h[:last]
	*q = h
	for i := 0; ; {
		least := i
		for c := 4*i + 1; c <= min(4*i+4, len(h)-1); c++ {
			if h.less(c, least) {
				least = c
			}
		}
		if least == i {
			return e
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}
