package gateway

import "time"

const (
	// maxLeadersAsked is how many leaders an attempt asks for a server if the leader changes meanwhile.
	maxLeadersAsked = 2
	// placeResendInterval is the time after which a request for a server is sent to the leader again. After placeTimeout
	// without an answer, the VM selects a server itself. An answer takes a few milliseconds inside a region.
	placeResendInterval = 70 * time.Millisecond
	placeTimeout        = 230 * time.Millisecond
	// reportResendInterval is the time after which a report without an acknowledgement is sent again, and maxReportSends the number of
	// times that a report is sent at most.
	reportResendInterval = 150 * time.Millisecond
	maxReportSends       = 4
	// maxLeaderWait is how long a request waits for a configuration and a leader that are expected soon, and leaderPollInterval
	// the time between two checks of the state.
	maxLeaderWait      = 300 * time.Millisecond
	leaderPollInterval = 10 * time.Millisecond
	// maxUnsentAttempts is the number of attempts without a connection that are allowed in addition to the attempts of the route.
	maxUnsentAttempts = 3
	// leaderWaitShare is the share of the target latency for which a request waits for a leader that is expected soon, when
	// this VM's share of the team's rate is used up. The rest of the target latency is left for the backend server.
	leaderWaitShare = 0.6
	// minRetryTime is the time that must remain until the deadline for another attempt.
	minRetryTime = 60 * time.Millisecond
	// hedgeDelayShare is the share of the target latency after which an idempotent request is also sent to a second server.
	hedgeDelayShare = 0.6
	// notReadyRetryAfter is the Retry-After time for requests to a VM without a configuration, and for requests that the backend server
	// proved not to have run.
	notReadyRetryAfter = 500 * time.Millisecond
	// defaultMaxBody is the largest request body in bytes if the configuration sets no limit.
	defaultMaxBody = 8 << 20
	// copyBufferSize is the size in bytes of the buffer through which the rest of a long response is copied.
	copyBufferSize = 64 << 10
)
