package policy

import (
	"time"
)

// endpoint is one server process.
type endpoint struct {
	Endpoint
	inFlight            []*request
	concurrencyLimit    float64
	maxInFlight         int           // most requests ever out there at once: so many connections there are
	latency             float64       // smoothed, seconds for a request of mean size; 0: not known
	baseLatency         float64       // a low quantile of it: what the node takes when little waits there
	lastAnswerAt        time.Duration // when it last answered an attempt
	lastReportAt        time.Duration // when it last reported its load
	reportedConcurrency float64       // requests that it says to hold, smoothed
	trafficShare        float64       // of what goes there, this initiator's over an even one, as its start was told
	reportedLoad        float64       // requests that it last said to hold or have waiting; -1: never told
	congestedAt         time.Duration // when a request here was last late or set aside
	failureStreak       float64       // bad outcomes since the last good one
	blockedUntil        time.Duration // no attempt before
	lastExtent          string        // extent sent last
	extentRun           int           // how often in a row
	coldSent            []timedUnits  // units sent within the fall window that no answer stood for
	coldServed          []timedUnits  // units answered that nothing was sent for yet

	serial                                   uint32 // in order of nodes
	listedChanged, listedUsed, listedRemoved bool   // which lists of the finder it is on
}
