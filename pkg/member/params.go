package member

import "time"

const (
	// heartbeatInterval is the time between heartbeats to the leader.
	heartbeatInterval = 300 * time.Millisecond
	// leaderTimeout is the time without a heartbeat answer after which the leader counts as lost: two missed answers.
	leaderTimeout = 750 * time.Millisecond
	// newLeaderTimeout is how long a new leader has to answer the first heartbeat.
	newLeaderTimeout = 400 * time.Millisecond
	// pollTimeout is how long votes are collected.
	pollTimeout = 150 * time.Millisecond
	// storeRetryDelay is the time between reads of the leader record while the store fails.
	storeRetryDelay = 600 * time.Millisecond
	// isolatedPollInterval is the time between polls while the leader answers most other VMs.
	isolatedPollInterval = time.Second

	// The first earlyCandidates by rank start their elections earlyCandidateStep apart. The others start lateCandidateStep apart
	// after lateCandidateDelay, so that few VMs call the store.
	earlyCandidates    = 4
	earlyCandidateStep = 25 * time.Millisecond
	lateCandidateDelay = 250 * time.Millisecond
	lateCandidateStep  = 40 * time.Millisecond
	// resignedLateCandidateDelay replaces lateCandidateDelay while a leader that resigned still answers, as no poll is needed
	// then. Late candidates also wait for storeRecoveryDelay after the store first answers them: the store may have been
	// unavailable to all VMs, and the leader needs half of that time to notice the recovery.
	resignedLateCandidateDelay = 100 * time.Millisecond
	storeRecoveryDelay         = 350 * time.Millisecond
	// queryInterval is the time between two rounds of queryPeers, and queryFanout is the number of VMs asked in a round.
	queryInterval = 200 * time.Millisecond
	queryFanout   = 4
	// peerRetention is how long a VM stays a peer after the last view that contained it. Replacing a VM takes less time.
	peerRetention = 30 * time.Second
	// initialJitterStep spreads the first elections of VMs that start together and know no other, over initialJitterSteps steps.
	initialJitterStep = 5 * time.Millisecond
	// singleCoreDelay, divided by the number of cores of the VM, is added to that jitter, up to maxCoreDelay.
	singleCoreDelay    = 15 * time.Millisecond
	maxCoreDelay       = 250 * time.Millisecond
	initialJitterSteps = 10
)
