package registrycache

import "github.com/azuretiller/azuretiller"

// Former is what a VM knows of the backend servers without having read the registry.
type Former struct {
	// Era is the era in which the knowledge was gained or an earlier one.
	Era azuretiller.Era
	// InUse holds the servers that were in use. If it is empty, nothing is known.
	InUse map[azuretiller.InstanceID]bool
}

// excludes reports whether a server was not in use in an earlier era than the given one.
func (f Former) excludes(id azuretiller.InstanceID, era azuretiller.Era) bool {
	return len(f.InUse) > 0 && f.Era < era && !f.InUse[id]
}
