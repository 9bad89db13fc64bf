package azuretiller

// VM is one member of the fleet. CallerAddress, PeerAddress and OperatorAddress are the addresses it listens on for callers, for
// other VMs and for operators, each as host:port.
type VM struct {
	ID              VMID
	Incarnation     Incarnation
	Zone            Zone
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	Leaving         bool
	// CPUPercent is the CPU time the VM may use, in hundredths of a core.
	CPUPercent int
}
