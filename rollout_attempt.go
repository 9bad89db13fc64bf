package azuretiller

import "time"

// RolloutAttempt is the result of an attempt on a server of the target version of a rollout, as far as it is evidence.
type RolloutAttempt struct {
	Route  RouteID
	Server InstanceID
	// Sent is the time from the start of the rollout to the sending of the request.
	Sent time.Duration
	Took time.Duration
	// Failed means that the attempt failed, and Overdue that it had no result after Took.
	Failed, Overdue bool
}
