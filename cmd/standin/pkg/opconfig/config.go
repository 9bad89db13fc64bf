package opconfig

import (
	"encoding/json"
	"strconv"
)

// Resource is one entry of a configuration.
type Resource map[string]any

// Route returns a route of the service named "service".
func Route(name, host, prefix, kind, timeout, objective string) Resource {
	return resource("routes", name, map[string]any{
		"host": host, "pathPrefix": prefix, "routeKind": kind, "timeout": timeout, "targetLatency": objective,
		"priority": 1, "service": "service", "maxAttempts": 2, "anonymous": false,
	})
}

// Service returns the service named "service".
func Service() Resource {
	return resource("services", "service", map[string]any{"warmup": "1s", "coldPerS": 8.0})
}

// Team returns a team with one key.
func Team(name, key string, rate, burst float64) Resource {
	return resource("tenants", name, map[string]any{"apiKeys": []string{key}, "ratePerS": rate, "burst": burst})
}

// Limits returns the largest body that callers may send, in bytes.
func Limits(body int) Resource {
	return resource("limits", "", map[string]any{"maxBodyBytes": body})
}

func resource(kind, name string, spec map[string]any) Resource {
	metadata := map[string]any{}
	if name != "" {
		metadata["name"] = name
	}
	return Resource{"entryKind": kind, "metadata": metadata, "spec": spec}
}

// Encode writes a configuration of a version.
func Encode(version int, resources []Resource) []byte {
	data, err := json.Marshal(map[string]any{"version": "r" + strconv.Itoa(version), "resources": resources})
	if err != nil {
		panic(err)
	}
	return data
}
