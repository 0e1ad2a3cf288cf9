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
		ep := s.byID[x.ID]
		if ep == nil {
			ep = &endpoint{Endpoint: Endpoint{ID: x.ID, Shard: x.Shard}, concurrencyLimit: 2, lastAnswerAt: s.now, reportedLoad: -1}
			s.addEndpoint(ep)
		}
		if x.Started != ep.Started && s.now-x.Started < s.settings.Rules.WarmUpTime {
			ep.trafficShare = s.estimateTrafficShare(x.Shard) // before this restart changes the traffic
			ep.concurrencyLimit, ep.failureStreak, ep.latency, ep.reportedLoad, ep.coldServed = 1, 0, 0, -1, nil
		}
		s.updateEndpoint(ep, x)
	}
	if e.Full {
		for _, ep := range s.endpoints {
			if x := ep.Endpoint; !named[ep.ID] {
				x.State = Removed
				s.updateEndpoint(ep, x)
			}
		}
	}
	for _, ep := range s.takeChanged() {
		if ep.State == Up && ep.Shard >= 0 {
			s.queueOf(ep.Shard)
		}
	}
	for _, q := range s.takeStale() {
		q.endpoint = nil
		for _, ep := range s.endpointsOf(q.shard) {
			if ep.State == Up && (q.endpoint == nil || ep.Started > q.endpoint.Started) {
				q.endpoint = ep
			}
		}
	}
}
