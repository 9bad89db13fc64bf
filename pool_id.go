package azuretiller

import "fmt"

// PoolID identifies a pool: a group of backend servers of one service in one zone.
type PoolID struct {
	Service ServiceID
	Zone    Zone
	Index   int
}

// String returns the pool as "service/zone/index".
func (p PoolID) String() string {
	return fmt.Sprintf("%s/%s/%d", p.Service, p.Zone, p.Index)
}
