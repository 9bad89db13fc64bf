package membership

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/azuretiller/azuretiller"
)

// rings holds the observers and subjects of every VM. Each ring is a pseudo-random order of the roster in which every VM
// observes its successor.
type rings struct {
	subjects  map[azuretiller.VMID][]azuretiller.VMID
	observers map[azuretiller.VMID][]azuretiller.VMID
}

func newRings(members []azuretiller.VM, degree int) rings {
	r := rings{
		subjects:  map[azuretiller.VMID][]azuretiller.VMID{},
		observers: map[azuretiller.VMID][]azuretiller.VMID{},
	}
	for ring := range degree {
		order := ringOrder(members, ring)
		for i, vm := range order {
			next := order[(i+1)%len(order)]
			if next == vm || slices.Contains(r.subjects[vm], next) {
				continue
			}
			r.subjects[vm] = append(r.subjects[vm], next)
			r.observers[next] = append(r.observers[next], vm)
		}
	}
	return r
}

// ringOrder returns the IDs of the members in the order of one ring, which is the same on every VM.
func ringOrder(members []azuretiller.VM, ring int) []azuretiller.VMID {
	type member struct {
		id   azuretiller.VMID
		hash uint64
	}
	byHash := make([]member, 0, len(members))
	for _, vm := range members {
		byHash = append(byHash, member{id: vm.ID, hash: xxhash.Sum64String(strconv.Itoa(ring) + "\x00" + string(vm.ID))})
	}
	slices.SortFunc(byHash, func(a, b member) int {
		switch {
		case a.hash < b.hash:
			return -1
		case a.hash > b.hash:
			return 1
		case a.id < b.id:
			return -1
		default:
			return 1
		}
	})
	out := make([]azuretiller.VMID, 0, len(byHash))
	for _, m := range byHash {
		out = append(out, m.id)
	}
	return out
}
