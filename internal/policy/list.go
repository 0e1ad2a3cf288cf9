package policy

import (
	"time"
)

// handleList applies the endpoint list or a change of it. A draining or removed endpoint gets no new
// attempt from then on. A failed call for the list only schedules the next subscription, with backoff.
func (s *Scheduler) handleList(e EndpointList) {
	if e.Failed {
		if s.settings.SubscribeToList {
			s.subscribeAt, s.subscribeBackoff = s.now+s.subscribeBackoff, min(2*s.subscribeBackoff, 8*time.Second)
		}
		return
	}
	s.subscribeBackoff = time.Second
	listed := map[string]bool{}
	for _, entry := range e.Endpoints {
		listed[entry.ID] = true
		ep := s.byID[entry.ID]
		if ep == nil {
			ep = &endpoint{Endpoint: Endpoint{ID: entry.ID, Shard: entry.Shard}, concurrencyLimit: 2, lastAnswerAt: s.now, reportedLoad: -1}
			s.addEndpoint(ep)
		}
		if entry.Started != ep.Started && s.now-entry.Started < s.settings.Rules.WarmUpTime {
			ep.trafficShare = s.estimateTrafficShare(entry.Shard) // while the traffic is still that from before the restart
			ep.concurrencyLimit, ep.failureStreak, ep.latency, ep.reportedLoad, ep.coldCredit = 1, 0, 0, -1, nil
		}
		s.updateEndpoint(ep, entry)
	}
	if e.Full {
		for _, ep := range s.endpoints {
			if removed := ep.Endpoint; !listed[ep.ID] {
				removed.State = Removed
				s.updateEndpoint(ep, removed)
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
