package membership

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/azuretiller/azuretiller"
)

// rings holds the observers and subjects of every VM: in each of several pseudo-random orders
// a VM observes its successor.
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
		order := ordered(members, ring)
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

func ordered(members []azuretiller.VM, ring int) []azuretiller.VMID {
	type place struct {
		id   azuretiller.VMID
		hash uint64
	}
	places := make([]place, 0, len(members))
	for _, vm := range members {
		places = append(places, place{id: vm.ID, hash: xxhash.Sum64String(strconv.Itoa(ring) + "\x00" + string(vm.ID))})
	}
	slices.SortFunc(places, func(a, b place) int {
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
	out := make([]azuretiller.VMID, 0, len(places))
	for _, p := range places {
		out = append(out, p.id)
	}
	return out
}
