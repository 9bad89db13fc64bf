package member

import "time"

const (
	// heartbeatInterval is the time between heartbeats to the leader.
	heartbeatInterval = 300 * time.Millisecond
	// leaderTimeout is the time without a heartbeat answer after which the leader counts as lost: two missed answers.
	leaderTimeout = 750 * time.Millisecond
	// newLeaderTimeout is how long a new leader has to answer the first heartbeat. At the start of its term, a leader also answers
	// the VMs whose last heartbeat is more recent than that.
	newLeaderTimeout = 400 * time.Millisecond
	// pollTimeout is how long votes are collected.
	pollTimeout = 150 * time.Millisecond
	// minPolled is the number of VMs from which a poll without any answer is repeated, up to maxUnansweredPolls times, unansweredPollDelay later.
	minPolled           = 2
	maxUnansweredPolls  = 2
	unansweredPollDelay = 200 * time.Millisecond
	// storeRetryDelay is the time until the leader record is read again after a failed read, to which lateCandidateStep is added for
	// each rank. After a failed claim the time is half as long.
	storeRetryDelay = 600 * time.Millisecond
	// isolatedPollInterval is the time between polls while the leader answers most other VMs.
	isolatedPollInterval = time.Second

	// earlyCandidates is the number of candidates, by rank, that start their elections early. The others are late candidates, which
	// wait longer so that few VMs call the store.
	earlyCandidates = 4
	// earlyCandidateStep is the delay of an early candidate for each rank.
	earlyCandidateStep = 25 * time.Millisecond
	// lateCandidateDelay is the delay of every late candidate. Its rank times lateCandidateStep is added.
	lateCandidateDelay = 250 * time.Millisecond
	lateCandidateStep  = 40 * time.Millisecond
	// resignedLateCandidateDelay replaces lateCandidateDelay while a leader that resigned still answers, as no poll is needed
	// then. The first late candidate then waits only this long, and each further one lateCandidateStep longer than the one before.
	resignedLateCandidateDelay = 100 * time.Millisecond
	// storeRecoveryDelay is how long a late candidate waits to claim after the store first answers it, if the leader resigned. The
	// store may have been unavailable to all VMs, and the leader needs half of that time to notice the recovery.
	storeRecoveryDelay = 350 * time.Millisecond
	// queryInterval is the time between two rounds of queryPeers.
	queryInterval = 200 * time.Millisecond
	// queryFanout is the number of VMs asked in a round of queryPeers.
	queryFanout = 4
	// peerRetention is how long a VM stays a peer after the last view that contained it. It is longer than the replacement of a VM
	// takes.
	peerRetention = 30 * time.Second
	// initialJitterStep is the unit of the jitter that delays the first election of a VM. The jitter spreads the elections of VMs that
	// start together and know no other.
	initialJitterStep = 5 * time.Millisecond
	// singleCoreDelay, divided by the number of cores of the VM, is added to the jitter.
	singleCoreDelay = 15 * time.Millisecond
	// maxCoreDelay bounds the delay by the number of cores.
	maxCoreDelay = 250 * time.Millisecond
	// initialJitterSteps is the number of different jitters, from 0 in units of initialJitterStep.
	initialJitterSteps = 10
	// eraSettleTime is the time after the first leader of an era from which views are known to be free of copied entries. A leader holds
	// them back for a shorter time after its first read of the registry.
	eraSettleTime = 5 * time.Second
)
