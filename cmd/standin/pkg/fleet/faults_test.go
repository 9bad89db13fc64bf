package fleet

import "github.com/azuretiller/azuretiller/cmd/standin/pkg/keyedstore"

func storeUnavailable() keyedstore.Faults { return keyedstore.Faults{RefuseAll: true} }
