package policy

import (
	"time"
)

// endpoint is what is known of one storage server process.
type endpoint struct {
	Endpoint
	inFlight            []*request    // attempts
	concurrencyLimit    float64       // attempts that may be in flight, before rounding down
	maxInFlight         int           // most attempts ever in flight: so many connections exist
	latency             float64       // smoothed, in seconds for a request of mean size; 0: unknown
	baseLatency         float64       // low quantile of latency: its service time without a queue
	lastAnswerAt        time.Duration // when it last answered an attempt
	lastReportAt        time.Duration // when it last reported its load
	reportedConcurrency float64       // requests in flight that it reports, smoothed
	trafficShare        float64       // this initiator's traffic over an even share, estimated at its restart
	reportedLoad        float64       // requests queued or in flight by its last report; -1: none yet
	congestedAt         time.Duration // when a request for it last expired or was deferred
	failureStreak       float64       // failures since the last success; a quick error counts less than one
	blockedUntil        time.Duration // no attempt before
	lastExtent          string        // extent sent last
	extentRun           int           // how often in a row
	coldSent            []timedUnits  // units sent within the overload window that used no answered units
	coldServed          []timedUnits  // units answered that have not been used by a send

	serial                                   uint32 // order in which endpoints were first listed
	listedChanged, listedUsed, listedRemoved bool   // which lists of the index it is on
}
