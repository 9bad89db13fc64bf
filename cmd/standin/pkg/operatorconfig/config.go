package operatorconfig

import (
	"encoding/json"
	"strconv"
)

// Resource is one resource of a configuration, such as a route or a team.
type Resource map[string]any

// Route returns a route to the service named "service".
func Route(name, host, prefix, routeKind, timeout, targetLatency string) Resource {
	return resource("routes", name, map[string]any{
		"host": host, "pathPrefix": prefix, "routeKind": routeKind, "timeout": timeout, "targetLatency": targetLatency,
		"priority": 1, "service": "service", "maxAttempts": 2, "anonymous": false,
	})
}

// Service returns the service named "service".
func Service() Resource {
	return resource("services", "service", map[string]any{"warmup": "1s", "coldPerS": 8.0})
}

// Team returns a team with one API key; rate is in requests per second, and burst in requests.
func Team(name, key string, rate, burst float64) Resource {
	return resource("tenants", name, map[string]any{"apiKeys": []string{key}, "ratePerS": rate, "burst": burst})
}

// Limits returns the limits for callers; maxBodyBytes is the largest request body.
func Limits(maxBodyBytes int) Resource {
	return resource("limits", "", map[string]any{"maxBodyBytes": maxBodyBytes})
}

func resource(kind, name string, spec map[string]any) Resource {
	metadata := map[string]any{}
	if name != "" {
		metadata["name"] = name
	}
	return Resource{"entryKind": kind, "metadata": metadata, "spec": spec}
}

// Encode returns a version of a configuration as JSON.
func Encode(version int, resources []Resource) []byte {
	data, err := json.Marshal(map[string]any{"version": "r" + strconv.Itoa(version), "resources": resources})
	if err != nil {
		panic(err)
	}
	return data
}
