package member

import "time"

const (
	// beatGap is the time between heartbeats to the leader.
	beatGap = 300 * time.Millisecond
	// lostAfter is the time without an answer of the leader after which this VM is out of touch: two answers are lost then.
	lostAfter = 750 * time.Millisecond
	// helloTime is how long a leader that this VM just heard of has to answer.
	helloTime = 400 * time.Millisecond
	// pollTime is how long votes are collected.
	pollTime = 150 * time.Millisecond
	// readRetry is the time between reads of the leader record while the store fails.
	readRetry = 600 * time.Millisecond
	// isolatedRetry is the time between polls of a VM that alone is out of touch.
	isolatedRetry = time.Second

	// The first candidates claim at intervals of firstStep, the others later, so that few VMs call the store.
	candidates = 4
	firstStep  = 25 * time.Millisecond
	laterStart = 250 * time.Millisecond
	laterStep  = 40 * time.Millisecond
	// resignedStart is laterStart while a leader that resigned still answers, as no poll is needed then. Later candidates wait for
	// confirmTime after the store has answered them: it may have been away for all, and the leader needs half of that to notice
	// that it is back.
	resignedStart = 100 * time.Millisecond
	confirmTime   = 350 * time.Millisecond
	// inquireGap is the time between the rounds in which a VM that waits for its turn asks others who leads, and inquired how many.
	inquireGap = 200 * time.Millisecond
	inquired   = 4
	// peerMemory is how long a VM counts as one of the fleet after the last view that named it; machines are replaced in less.
	peerMemory = 30 * time.Second
	// bootStep spreads VMs that start together and know no other.
	bootStep = 5 * time.Millisecond
	// bootWork divided by the cores of a VM is the delay of its first claim, up to longestBoot.
	bootWork    = 15 * time.Millisecond
	longestBoot = 250 * time.Millisecond
	bootSlots   = 10
)
