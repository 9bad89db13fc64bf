package app

import "runtime/debug"

// runtimeMemoryShare is the share of the memory of the VM above which the runtime collects garbage more often. The rest is left for the
// program, the buffers of the kernel and what is allocated during a collection.
const runtimeMemoryShare = 0.6

// limitMemory makes the runtime keep to the memory of the VM in bytes, if the settings name it.
func limitMemory(memory int64) {
	if memory > 0 {
		// The limit covers the memory of the runtime but not the program itself.
		debug.SetMemoryLimit(int64(float64(memory) * runtimeMemoryShare))
	}
}
