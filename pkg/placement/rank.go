package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/azuretiller/azuretiller"
)

type scored struct {
	vm    azuretiller.VM
	score uint64
}

// Rank returns the VMs in the order in which they are responsible for a name.
func Rank(name string, vms []azuretiller.VM) []azuretiller.VM {
	scores := make([]scored, 0, len(vms))
	for _, vm := range vms {
		scores = append(scores, scored{vm: vm, score: score(name, vm.ID)})
	}
	slices.SortFunc(scores, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		case a.vm.ID < b.vm.ID:
			return -1
		default:
			return 1
		}
	})
	out := make([]azuretiller.VM, 0, len(scores))
	for _, s := range scores {
		out = append(out, s.vm)
	}
	return out
}

// First returns the VM that is responsible for a name, and whether there is any VM.
func First(name string, vms []azuretiller.VM) (azuretiller.VM, bool) {
	var best azuretiller.VM
	var top uint64
	for i, vm := range vms {
		s := score(name, vm.ID)
		if i == 0 || s > top || s == top && vm.ID < best.ID {
			best = vm
			top = s
		}
	}
	return best, len(vms) > 0
}

// Spread returns up to count VMs responsible for a name, each from another zone while there are zones left.
func Spread(name string, vms []azuretiller.VM, count int) []azuretiller.VM {
	var out, spare []azuretiller.VM
	used := map[azuretiller.Zone]bool{}
	for _, vm := range Rank(name, vms) {
		if used[vm.Zone] {
			spare = append(spare, vm)
			continue
		}
		used[vm.Zone] = true
		out = append(out, vm)
	}
	out = append(out, spare...)
	return out[:min(count, len(out))]
}

func score(name string, vm azuretiller.VMID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(vm))
	return d.Sum64()
}
