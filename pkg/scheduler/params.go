package scheduler

import "time"

// Params are the parameters of the deployment: the limits on retries and the cost of requests to other availability zones.
type Params struct {
	// RetryRatio is the number of retries that the deployment tolerates for each request.
	RetryRatio float64
	// RetrySlack is the number of retries that the deployment tolerates in addition to RetryRatio.
	RetrySlack float64
	// CrossZoneCost is the cost of sending a request to another availability zone, as a fraction of the value of a successful
	// answer. CrossZoneCostPerKiB is the additional cost of each 1,024 bytes of the bodies of request and answer.
	CrossZoneCost       float64
	CrossZoneCostPerKiB float64
	// KeepInZone means that requests wait for slots of their own availability zone and leave it by the rules of package zoneflow. Without it,
	// the costs above only lower the score of servers in other zones.
	KeepInZone bool
	// FavorUrgent means that requests that other services could run yield to the service's own, that requests are refused at once if more urgent
	// ones would overtake them, and that a part of the retry budget is kept for the most urgent ones.
	FavorUrgent bool
}

const (
	// retryShare is the fraction of RetryRatio in use. The margin is needed because a retry may be counted in a later
	// measurement window than its request.
	retryShare = 0.9
	// retryCapacity is the capacity of the retry budget as a fraction of RetrySlack.
	retryCapacity = 0.6
	// initialRetries is the fraction of RetrySlack with which a new leader begins. It is below retryCapacity because the
	// predecessor may have spent the rest within the same measurement window.
	initialRetries = 0.25

	// softDeadlineWaitShare is the fraction of the time to its soft deadline that a request may wait for a slot.
	softDeadlineWaitShare = 0.5
	// deadlineWaitShare is the fraction of the time to the caller's deadline that a request may wait for a slot.
	deadlineWaitShare = 0.3
	// betterServerWait is the longest time that a request that is not idempotent waits for a server with a higher success
	// probability.
	betterServerWait = 200 * time.Millisecond
	// betterServerMargin is the least difference of the success probabilities for which such a request waits.
	betterServerMargin = 0.08

	// noServerWait is the Retry-After time of requests that no server may run.
	noServerWait = time.Second

	// maxMisses is the number of waiting requests without a suitable server after which a pass over the queues ends. It
	// bounds the time of a pass when the queues are long. Requests do not wait for a better server either while that many are
	// queued.
	maxMisses = 8

	// initialServiceTime is the assumed service time until the first answer.
	initialServiceTime = 200 * time.Millisecond
	// retryableDiscount scales the risk of a failure that leaves the request free to be sent to another server.
	retryableDiscount = 0.7
	// minRetryBudget is the remaining fraction of the retry budget below which retryableDiscount does not apply.
	minRetryBudget = 0.3

	// averageWeight is the weight of the newest answer in the moving averages of service time and body size.
	averageWeight = 0.05
	// minSizeRatio is the smallest ratio of the average body size to the newest one. Below it the newest size replaces the
	// average, which starts at zero.
	minSizeRatio = 0.1
	// overdueFactor is the multiple of the average service time after which a running attempt counts as overdue, which is
	// evidence of a failure.
	overdueFactor = 3
	// minOverdue is the least time after which an attempt counts as overdue.
	minOverdue = 300 * time.Millisecond
	// overdueWeight is the weight of an overdue attempt as evidence of a failure. It is below 1 because some requests are long.
	overdueWeight = 0.5
	// unreachableWeight is the weight of a failed connection as evidence of a failure. It is below 1 because the network path
	// may be the cause.
	unreachableWeight = 0.35
	// unreachableBackoff is how long the requests of a VM avoid a server that the VM could not reach.
	unreachableBackoff = 3 * time.Second
	// downBackoff is how long all requests avoid a server whose address refuses connections. A restart takes a few seconds.
	downBackoff = time.Second
	// ticketGrace is the time after the deadline of an attempt at which its ticket counts as lost if no report arrived.
	ticketGrace = 500 * time.Millisecond

	// coldWindow is the sliding window in which the requests to a cold server are counted. It is longer than 1 s because the
	// network delay varies, so requests may arrive closer together than they were assigned.
	coldWindow = 1100 * time.Millisecond
	// coldPenalty lowers the score of cold servers, so that warm servers with free slots come first.
	coldPenalty = 0.1

	// loadPenalty scales with the share of slots in use, so that the least loaded of otherwise equal servers comes first.
	loadPenalty = 0.02
	// inFlightRiskWeight is the added weight of the failure risk for each request that already runs on the server.
	inFlightRiskWeight = 0.25
	// trialBonus raises the score of a server whose version is on trial, if an attempt there is admitted: without results there is no verdict.
	// It exceeds the failure risk of a server that fails half of its requests.
	trialBonus = 0.6
	// newServerBonus raises the score of a server that has had no request yet.
	newServerBonus = 0.3

	// coverageWindow is the sliding window in which outcomes and servers in use are counted. It is shorter than the window
	// of 2 s that the platform's operators check.
	coverageWindow = 1800 * time.Millisecond
	// busyThreshold is the number of outcomes in coverageWindow from which most healthy servers are kept in use at all times.
	busyThreshold = 20
	// minIdempotentPerServer is the number of idempotent requests for each server in coverageWindow from which only
	// idempotent requests may go to servers with a lower score.
	minIdempotentPerServer = 1.5
	// healthyAfter is the time since its last failure after which a server counts as healthy throughout the operators' window of
	// 2 s.
	healthyAfter = 4 * time.Second
	// recoveredAfter is the time since its last failure after which a server counts as healthy at the moment.
	recoveredAfter = 2 * time.Second
	// minAcceptance is the smallest probability of accepting a request with which a server counts as healthy.
	minAcceptance = 0.6
	// minLossShare is the share of requests not served from which most healthy servers are kept in use, also while there
	// are fewer than busyThreshold requests.
	minLossShare = 0.06
	// minLosses is the number of requests not served below which minLossShare does not apply, as the share is too uncertain.
	minLosses = 5
	// minHealthyCoverage is the share of the healthy servers that is kept in use. The operators require 0.7.
	minHealthyCoverage = 0.9
	// minRecoveredCoverage is the share that is kept in use of the healthy servers and of those whose last failure was between
	// recoveredAfter and healthyAfter ago. The operators require 0.7 of both together.
	minRecoveredCoverage = 0.72
	// coverageBonus raises the score of a server without a request in coverageWindow while more servers must be in use.
	coverageBonus = 0.6
)
