package azuretiller

// Version is the name of a version of a service's backend servers, as written in their registry entries.
type Version string
