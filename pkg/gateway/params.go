package gateway

import "time"

const (
	// maxLeadersAsked is how many leaders an attempt asks for a server if the leader changes meanwhile.
	maxLeadersAsked = 2
	// placeResendInterval is the time after which a PlaceRequest is sent to the leader again. An answer takes a few milliseconds inside a
	// region.
	placeResendInterval = 70 * time.Millisecond
	// placeTimeout is the time without an answer of the leader after which the VM selects a server itself.
	placeTimeout = 230 * time.Millisecond
	// reportResendInterval is the time after which a report without an acknowledgement is sent again.
	reportResendInterval = 150 * time.Millisecond
	// maxReportSends is how often a report is sent at most.
	maxReportSends = 4
	// maxLeaderWait is how long a request waits for a configuration and a leader that are expected soon.
	maxLeaderWait = 300 * time.Millisecond
	// leaderPollInterval is the time between two checks of the state during such a wait.
	leaderPollInterval = 10 * time.Millisecond
	// maxPendingAttempts is the number of attempts of a request that run at the same time: a hedge and the attempt before it.
	maxPendingAttempts = 2
	// maxUnsentAttempts is the number of attempts that are allowed in addition to those of the route if no connection to a server could be
	// opened.
	maxUnsentAttempts = 3
	// maxWithheldAttempts is how many attempts of a request may be withheld. It bounds the attempts while servers begin to leave or to
	// pause between the placement and the sending.
	maxWithheldAttempts = 16
	// maxBlockedListed is the number of servers of one service that a PlaceRequest lists because they asked for no requests. It bounds the
	// size of the datagram; attempts for the others are withheld.
	maxBlockedListed = 64
	// leaderWaitShare is the share of the target latency for which a request waits for a leader that is expected soon, when
	// this VM's share of the team's rate is used up. The rest of the target latency is left for the backend server.
	leaderWaitShare = 0.6
	// minRetryTime is the time that must remain until the deadline for another attempt.
	minRetryTime = 60 * time.Millisecond
	// hedgeDelayShare is the share of the target latency after which an idempotent request is also sent to a second server.
	hedgeDelayShare = 0.6
	// minHedgeDelay is the shortest such time, for routes without a target latency.
	minHedgeDelay = 10 * time.Millisecond
	// defaultRetryAfter is the Retry-After time of refusals for which the leader gave none: of requests to a VM without a configuration, and
	// of requests that the backend server proved not to have run.
	defaultRetryAfter = 500 * time.Millisecond
	// defaultMaxBody is the largest request body in bytes if the configuration sets no limit.
	defaultMaxBody = 8 << 20
	// maxBufferedRequest is the size in bytes up to which a request body is buffered before it is sent to a backend server.
	maxBufferedRequest = 1 << 20
	// maxBufferedRequests is the size in bytes of all request bodies that are buffered at the same time, beyond the first
	// replay.UnreservedSize of each. It is a sixth of the memory of the smallest VMs.
	maxBufferedRequests = 32 << 20
	// unreadBodyTimeout is how long a caller may take to send the rest of a body that is not needed.
	unreadBodyTimeout = 2 * time.Second
	// unreadResponseTimeout is how long after the timeout of the request a caller may take to read a response that is complete. A response that
	// arrives just before the timeout needs some time to be sent.
	unreadResponseTimeout = 2 * time.Second
	// refusalTimeout is how long a caller may take to read a refusal.
	refusalTimeout = 2 * time.Second
	// maxUnreadBody is the size in bytes of the rest of a body up to which it is read, so that the connection is kept. net/http has the same limit.
	maxUnreadBody = 256 << 10
	// copyBufferSize is the size in bytes of the buffer through which the rest of a long response is copied.
	copyBufferSize = 64 << 10
)
