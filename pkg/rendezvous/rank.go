package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/azuretiller/azuretiller"
)

// scoredVM is a VM with its rendezvous score for a name.
type scoredVM struct {
	vm    azuretiller.VM
	score uint64
}

// Rank returns the VMs sorted by descending rendezvous score for a name. The first one is responsible for the name; the
// others follow in the order in which they would replace it.
func Rank(name string, vms []azuretiller.VM) []azuretiller.VM {
	scored := make([]scoredVM, 0, len(vms))
	for _, vm := range vms {
		scored = append(scored, scoredVM{vm: vm, score: score(name, vm.ID)})
	}
	slices.SortFunc(scored, func(a, b scoredVM) int {
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
	out := make([]azuretiller.VM, 0, len(scored))
	for _, s := range scored {
		out = append(out, s.vm)
	}
	return out
}

// First returns the first VM of Rank, which is responsible for the name. It returns false if vms is empty.
func First(name string, vms []azuretiller.VM) (azuretiller.VM, bool) {
	var first azuretiller.VM
	var highest uint64
	for i, vm := range vms {
		s := score(name, vm.ID)
		if i == 0 || s > highest || s == highest && vm.ID < first.ID {
			first = vm
			highest = s
		}
	}
	return first, len(vms) > 0
}

// AcrossZones returns up to count VMs for a name, in the order of Rank, but takes one VM from each availability
// zone before it takes a second VM from any zone.
func AcrossZones(name string, vms []azuretiller.VM, count int) []azuretiller.VM {
	var out, remaining []azuretiller.VM
	usedZones := map[azuretiller.Zone]bool{}
	for _, vm := range Rank(name, vms) {
		if usedZones[vm.Zone] {
			remaining = append(remaining, vm)
			continue
		}
		usedZones[vm.Zone] = true
		out = append(out, vm)
	}
	out = append(out, remaining...)
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
