package policy

import (
	"time"
)

// handleList applies the endpoint list or a change of it. A draining or removed endpoint gets no new
// attempt from then on. A failed list call only schedules the next subscription, with backoff.
func (s *Scheduler) handleList(e EndpointList) {
	if e.Failed {
		if s.settings.SubscribeToList {
			s.subscribeAt, s.subscribeBackoff = s.now+s.subscribeBackoff, min(2*s.subscribeBackoff, 8*time.Second)
		}
		return
	}
	s.subscribeBackoff = time.Second
	named := map[string]bool{}
	for _, x := range e.Endpoints {
		named[x.ID] = true
		n := s.byID[x.ID]
		if n == nil {
			n = &endpoint{Endpoint: Endpoint{ID: x.ID, Shard: x.Shard}, concurrencyLimit: 2, lastAnswerAt: s.now, reportedLoad: -1}
			s.addEndpoint(n)
		}
		if x.Started != n.Started && s.now-x.Started < s.settings.Rules.WarmUpTime {
			n.trafficShare = s.estimateTrafficShare(x.Shard) // before this restart changes the traffic
			n.concurrencyLimit, n.failureStreak, n.latency, n.reportedLoad, n.coldServed = 1, 0, 0, -1, nil
		}
		s.updateEndpoint(n, x)
	}
	if e.Full {
		for _, n := range s.endpoints {
			if x := n.Endpoint; !named[n.ID] {
				x.State = Removed
				s.updateEndpoint(n, x)
			}
		}
	}
	for _, n := range s.takeChanged() {
		if n.State == Up && n.Shard >= 0 {
			s.queueOf(n.Shard)
		}
	}
	for _, l := range s.takeStale() {
		l.endpoint = nil
		for _, n := range s.endpointsOf(l.shard) {
			if n.State == Up && (l.endpoint == nil || n.Started > l.endpoint.Started) {
				l.endpoint = n
			}
		}
	}
}
