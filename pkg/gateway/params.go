package gateway

import "time"

const (
	// mostLeaders is how many leaders a request asks, when the lead moves on meanwhile.
	mostLeaders = 2
	// askRepeat is how soon a question to the leader is sent again, and askPatience when the VM decides on its own.
	// An answer takes a few milliseconds inside a region.
	askRepeat   = 70 * time.Millisecond
	askPatience = 230 * time.Millisecond
	// reportRepeat is how soon a result is reported again, and reportTries how often.
	reportRepeat = 150 * time.Millisecond
	reportTries  = 4
	// leaderWait is how long a request waits for a configuration and a leader that are expected soon, and leaderPoll the time
	// between two looks.
	leaderWait = 300 * time.Millisecond
	leaderPoll = 10 * time.Millisecond
	// mostUnsent bounds the attempts beyond those of the route for which no connection could be made.
	mostUnsent = 3
	// leaderShare is the share of the objective until which a request waits for a leader that is expected soon, when this VM's part of
	// the team's rate is spent; the rest is left for the work.
	leaderShare = 0.6
	// leastLeft is the time that must be left for one more attempt.
	leastLeft = 60 * time.Millisecond
	// hedgeShare is the share of the objective after which a request that may run twice is sent to a second server.
	hedgeShare = 0.6
	// notReadyRetry is told to callers of a VM without a configuration.
	notReadyRetry = 500 * time.Millisecond
	// defaultBody bounds bodies while the configuration states no limit, in bytes.
	defaultBody = 8 << 20
	// copyBuffer is the size of the pieces of a long answer.
	copyBuffer = 64 << 10
)
