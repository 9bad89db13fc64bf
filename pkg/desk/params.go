package desk

import "time"

// Params are the tolerances of the deployment and the limits of waiting.
type Params struct {
	// RetryRatio is the number of repeats that each request pays for.
	RetryRatio float64
	// RetrySlack is the number of repeats that the deployment tolerates beyond the ratio.
	RetrySlack float64
	// Crossing is what sending a request to another zone costs, as a share of the request's worth, and CrossingKB what each
	// 1,024 bytes of its answer add.
	Crossing   float64
	CrossingKB float64
}

const (
	// retryShare keeps the repeats below what the deployment tolerates, as requests of one window are counted in the next.
	retryShare = 0.9
	// retryReserve is the share of the slack that may be saved up, and retryStart the share that a new leader begins with,
	// since the one before may have spent the rest within the same window.
	retryReserve = 0.6
	retryStart   = 0.25

	// waitShare is the share of the time to the objective that a request may wait for a slot.
	waitShare = 0.5
	// deadlineShare is the same for the caller's deadline.
	deadlineShare = 0.3
	// betterWait is how long a request that may run only once waits for a server that is more likely to answer, by betterBy.
	betterWait = 200 * time.Millisecond
	betterBy   = 0.08

	// mostMisses bounds the waiting requests that are looked at in vain at each event, so that a long queue stays cheap.
	mostMisses = 8

	// firstTypical is the service time in use until the first answer.
	firstTypical = 200 * time.Millisecond
	// secondChance is what a failure counts for a request that may be sent to another server.
	secondChance = 0.7
	// leastBudget is the share of the saved repeats below which second chances are not counted on.
	leastBudget = 0.3

	// typicalWeight is the weight of the newest answer in the average service time.
	typicalWeight = 0.05
	// firstSize is the share of an answer's size below which the average is taken for not learnt yet.
	firstSize = 0.1
	// overdueFactor is the multiple of the usual service time after which an attempt speaks against its server.
	overdueFactor = 3
	leastOverdue  = 300 * time.Millisecond
	// overdueEvidence is the weight of an overdue attempt, since some requests are long.
	overdueEvidence = 0.5
	// pathEvidence is the weight of a failed connection, which may be the fault of the path.
	pathEvidence = 0.35
	// pathBlock is how long a VM is not sent to a server that it could not reach.
	pathBlock = 3 * time.Second
	// downTime is how long no VM is sent to a server on whose address nothing listens; one that restarts takes some seconds.
	downTime = time.Second
	// ticketSlack is the time beyond its deadline after which a ticket without a report counts as lost.
	ticketSlack = 500 * time.Millisecond

	// coldWindow is the span in which the requests to a cold server are counted; it is longer than a second, as they travel.
	coldWindow = 1100 * time.Millisecond
	// coldPenalty keeps work from cold servers while warm ones have room.
	coldPenalty = 0.1

	// loadPenalty prefers idle servers among equals.
	loadPenalty = 0.02
	// crowding is the weight of the requests that already run on a server that may fail.
	crowding = 0.25
	// newcomerBonus brings a first request to a server that never had one.
	newcomerBonus = 0.3

	// coverageWindow is the span in which outcomes and servers in use are looked at; the platform's operators look at 2 s.
	coverageWindow = 1800 * time.Millisecond
	// busyService is the number of requests in the window from which most servers are always kept in use.
	busyService = 20
	// readsEnough is the number of requests in the window that may run again, for each server, from which only they explore.
	readsEnough = 1.5
	// soundAfter is how long after a failure a server counts as sound for the whole of a window, and recoveredAfter for a moment.
	soundAfter     = 4 * time.Second
	recoveredAfter = 2 * time.Second
	// leastTaken is the chance that a server takes a request below which it does not count as sound.
	leastTaken = 0.6
	// lostShare is the share of requests that are not served from which work is spread over most servers.
	lostShare = 0.06
	// leastLost is the number of lost requests from which their share says anything.
	leastLost = 5
	// leastCoverage is the share of the sound servers that get work; the operators ask for 0.7.
	leastCoverage = 0.9
	// leastRecovered is the same with the servers that failed between recoveredAfter and soundAfter ago.
	leastRecovered = 0.6
	// spreadBonus is what a server that had no work for long is preferred by then.
	spreadBonus = 0.6
)
