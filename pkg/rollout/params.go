package rollout

import "time"

const (
	// exposureMargin is the part of the bound that is used. The rest covers requests that were counted by this leader but not by
	// the operator, and attempts that were counted by the operator only.
	exposureMargin = 0.95
	// trialSlackShare and trialRequestShare are the parts of ExposeSlack and of ExposeShare that may be used before the cutover. The
	// rest is left for the time between the cutover and a verdict on a version that turns bad after it.
	trialSlackShare   = 0.95
	trialRequestShare = 0.75
	// successorSlackShare and successorRequestShare are the same for a new leader, which cannot know the unused part of the last
	// block and has to collect evidence again.
	successorSlackShare   = 1
	successorRequestShare = 0.9
	// initialSlack is the part of the trial's slack that may be used at once. The rest becomes available evenly until the cutover,
	// so that a version that turns bad later is noticed.
	initialSlack = 0.15
	// slackExponent delays the use of the slack, as the last responses before the cutover decide, and suspicionAdvance is the part
	// of the trial by which it is used earlier while the log odds are above suspicionLogOdds.
	slackExponent    = 1.4
	suspicionAdvance = 0.2
	suspicionLogOdds = -1
	// blockShare is the size of a block as a share of the expected exposure. A new leader loses the unused part of the last block,
	// and each block costs a write. minBlockStep is the least increase of the stored mark.
	blockShare   = 0.12
	minBlockStep = 4

	// referenceWarmup is the time for which a new leader observes the old servers before it judges attempts on target servers.
	referenceWarmup = 2 * time.Second

	// storedAttempts is the largest number of attempts that are stored as evidence for a new leader.
	storedAttempts = 120

	// storeRetry is the time after which a failed write is repeated.
	storeRetry = 200 * time.Millisecond

	// cutoverMargin is the time from the cutover to the time limit besides the time that the last requests on old servers take. It
	// covers three writes to the store and the distribution of a view.
	cutoverMargin = 1300 * time.Millisecond
	// minDrain and maxDrain limit the time that is left for the last requests on old servers.
	minDrain = 400 * time.Millisecond
	maxDrain = 4500 * time.Millisecond
	// drainWindow is the time after which the longest attempt on an old server no longer counts.
	drainWindow = 3 * time.Second
	// cutoverExtension is how much later the cutover may be if the verdict is uncertain.
	cutoverExtension = 500 * time.Millisecond
	// completionGrace is the time before the time limit from which a completion is no longer put off by suspicion.
	completionGrace = 900 * time.Millisecond

	// badLogOdds is the log odds from which the verdict is bad. Under the model of a good version, the odds reach this value
	// in at most 1 of 1,000 rollouts.
	badLogOdds = 7
	// cutoverBadLogOdds is the same after the cutover, when each further request of a bad version exceeds its exposure and much
	// evidence comes quickly. Attempts that run count only after they have kept the odds there for runningConfirmation, since they
	// may be those of a lost VM, which the leader has not noticed.
	cutoverBadLogOdds   = 4.5
	runningConfirmation = time.Second
	// goodLogOdds is the log odds up to which the verdict is good, and lateGoodLogOdds the same when no more time is left.
	goodLogOdds     = -2
	lateGoodLogOdds = -0.5
	// completionLogOdds are the log odds up to which a rollout is completed after the cutover when no time is left.
	completionLogOdds = 1.5
	// minResponses and minServers are the numbers of responses and of servers without which no verdict is good.
	minResponses = 8
	minServers   = 3
	// maxStoredLogOdds limits what a new leader takes over from the log odds of its predecessor.
	maxStoredLogOdds = 4
	// trustedStoredLogOdds are the log odds of the predecessor with which a new leader may decide without responses of its own, if at
	// least trustedReserved attempts were reserved.
	trustedStoredLogOdds = -1.8
	trustedReserved      = 30
	// runningInterval is the least time between two evaluations that include the attempts that run.
	runningInterval = 200 * time.Millisecond
	// inheritedBadAge is the assumed time since badCountLimit was reached, if a former leader stored that it may have been.
	inheritedBadAge = 2 * time.Second

	// badCountLimit is the number of bad responses after which Params.Rollback is counted. The operator counts from the 50th.
	badCountLimit = 45
	// unknownBadShare is added to the share of bad responses so far for the estimate of how many attempts without a result are bad.
	unknownBadShare = 0.3
	// rollbackMargin is the time before the end of Params.Rollback at which the exposure is paused.
	rollbackMargin = 1500 * time.Millisecond
	// trustedLogOdds is the log odds below which the exposure continues although the version had badCountLimit bad responses, as
	// gray servers may have caused them. A good verdict then requires such odds too.
	trustedLogOdds = -2

	// minVisit is the least number of attempts that a target server gets before the next one is in focus, and visitSurplus how many
	// it gets beyond its slots. Many servers are visited because a gray server says nothing about its version.
	minVisit     = 5
	visitSurplus = 3
	// visitBad is the number of bad responses that end a visit, since more of them could also come from a gray server.
	visitBad = 3
	// visitTimeout ends the visit of a server that gets no attempts, as it may be full of attempts that hang.
	visitTimeout = 800 * time.Millisecond

	// sheddingShare is the share of shed attempts on old servers from which there is no exposure, as it would yield no evidence.
	sheddingShare = 0.3

	// overdueAfter is the least time after which an attempt without a result counts as failed. Without it, the responses of a version
	// that hangs would look good, as the good ones come first. It is longer than the time in which the leader usually
	// notices that the VM of the attempt is lost.
	overdueAfter = 1600 * time.Millisecond
	// overdueFactor is the least time in multiples of the threshold of slow responses.
	overdueFactor = 1.5

	// coldTime is the time after its start in which a server is slower, up to coldSlowdown times. The durations of its responses are no
	// evidence.
	coldTime     = 3 * time.Second
	coldSlowdown = 2

	// unansweredAfter is the time from which a cancelled attempt shows that the server did not respond, as after a hedge. The
	// attempts of lost VMs are reported as cancelled without a duration.
	unansweredAfter = 500 * time.Millisecond
)
