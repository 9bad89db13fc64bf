package azuretiller

// RecordedOrder is an order with the position of its record in the operators' settings. The position tells the order apart from other orders
// for the same service.
type RecordedOrder struct {
	RolloutOrder
	At Position
}

// Same reports whether two records are the same order. After a restore of the store, an order is written again at another position.
func (o RecordedOrder) Same(other RecordedOrder) bool {
	if o.At.Era != other.At.Era {
		return o.RolloutOrder == other.RolloutOrder
	}
	return o.At == other.At
}

// RolloutChange is a change of the order for a service.
type RolloutChange struct {
	Service ServiceID
	// Removed means that there is no order any more, or only an invalid one; Order is then empty.
	Removed bool
	// Invalid says why the order cannot be carried out; it is nil for others.
	Invalid error
	Order   RecordedOrder
}

// RolloutRecord is the stored progress of an order.
type RolloutRecord struct {
	Order RecordedOrder
	// InUse is the version that was in use when the order was first seen.
	InUse Version
	// Term is that of the leader that wrote the record.
	Term     Term
	Progress RolloutProgress
	// Invalid says why the record cannot be used; it is nil for others. The fields of an invalid record other than Order.Service are empty.
	Invalid error
}

// RolloutStatus is the state of the last order for a service, as the operator sees it.
type RolloutStatus struct {
	Target Version
	State  RolloutState
}

// StoredRollouts is what the store holds of rollouts, apart from the orders.
type StoredRollouts struct {
	Records  map[ServiceID]RolloutRecord
	Statuses map[ServiceID]RolloutStatus
	// NextRecord and NextStatus are the positions at which the next record and the next status would be written.
	NextRecord Position
	NextStatus Position
}
