package azuretiller

// RolloutState is the state of a rollout, as reported to the operator.
type RolloutState int

// The states of a rollout. The zero value means that no state has been stored.
const (
	// RolloutActive means that the rollout is undecided.
	RolloutActive RolloutState = iota + 1
	// RolloutCompleted means that only the target version is in use; it is final for the order.
	RolloutCompleted
	// RolloutReverted means that the target version is not in use; it is final for the order.
	RolloutReverted
)

// Final reports whether the state can no longer change for the same order.
func (s RolloutState) Final() bool { return s == RolloutCompleted || s == RolloutReverted }

// String returns the name of the state.
func (s RolloutState) String() string {
	switch s {
	case RolloutActive:
		return "active"
	case RolloutCompleted:
		return "completed"
	case RolloutReverted:
		return "reverted"
	default:
		return "none"
	}
}
