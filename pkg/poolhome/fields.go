package poolhome

import (
	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/pool"
)

func noticeFields(id azuretiller.PoolID, n pool.Notice) log.Fields {
	fields := log.Fields{"pool": id.String(), "server": n.Server}
	if n.Reason != "" {
		fields["reason"] = n.Reason
	}
	return fields
}
