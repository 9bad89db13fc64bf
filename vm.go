package azuretiller

// VM is one member of the fleet with the addresses it listens on, each as host:port.
type VM struct {
	ID          VMID
	Incarnation Incarnation
	Zone        Zone
	Caller      string
	Peer        string
	Operator    string
	Leaving     bool
	// Power is the processor time the VM may use, in hundredths of a core.
	Power int
}
