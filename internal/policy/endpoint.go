package policy

import (
	"time"
)

// endpoint is the scheduler's state of one listed storage server process.
type endpoint struct {
	Endpoint
	inFlight            []*request    // requests with an attempt in flight here
	concurrencyLimit    float64       // attempts that may be in flight, before rounding down
	maxInFlight         int           // most attempts ever in flight, hence the number of connections
	latency             float64       // smoothed, in seconds for a request of mean size; 0: unknown
	baseLatency         float64       // low quantile of the latency, in seconds: the service time without a queue
	lastAnswerAt        time.Duration // when an attempt last ended with an answer or a connection failure; at first when it was listed
	lastReportAt        time.Duration // when it last reported its load
	reportedConcurrency float64       // requests in flight by its reports, smoothed
	trafficShare        float64       // this initiator's traffic over an even share, estimated when the endpoint restarted
	reportedLoad        float64       // requests queued or in flight by its last report; -1: none yet
	congestedAt         time.Duration // when a request for it last expired or was deferred
	failureStreak       float64       // failures since the last success; a quick error counts less than one
	blockedUntil        time.Duration // no attempt is sent before
	lastExtent          string        // extent of the last request sent
	extentRun           int           // requests of that extent sent in a row
	coldSent            []timedUnits  // units sent within the overload window that used no credit
	coldCredit          []timedUnits  // units answered that no later send has used up

	serial                                   uint32 // order in which endpoints were first listed
	inChangedList, inUsedList, inRemovedList bool   // which lists of the index it is on
}
