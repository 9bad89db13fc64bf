package message

// RolloutUse is how VMs may use a server because of a rollout of its service. The zero value restricts nothing.
type RolloutUse int

// The restricted uses of a server.
const (
	// WhileRecent means that a VM without contact to the leader may use the server for a short time only, since the leader may withdraw it.
	WhileRecent RolloutUse = iota + 1
	// Withdrawn means that the server gets no more requests, also from leaders of earlier terms.
	Withdrawn
)
