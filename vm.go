package azuretiller

// VM is one member of the fleet. Caller, Peer and Operator are the addresses it listens on for callers, for other VMs and for
// operators, each as host:port.
type VM struct {
	ID          VMID
	Incarnation Incarnation
	Zone        Zone
	Caller      string
	Peer        string
	Operator    string
	Leaving     bool
	// Power is the CPU time the VM may use, in hundredths of a core.
	Power int
}
