package poolowner

import (
	"github.com/apex/log"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/pool"
)

func logFields(id azuretiller.PoolID, event pool.LogLine) log.Fields {
	fields := log.Fields{"pool": id.String(), "server": event.Server}
	if event.Reason != "" {
		fields["reason"] = event.Reason
	}
	return fields
}
