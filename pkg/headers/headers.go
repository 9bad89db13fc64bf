package headers

import (
	"net/http"
	"net/url"
	"strings"
)

// The names of the headers that the fleet exchanges with callers and backend servers.
const (
	Code    = "Azuretiller-Code"
	Outcome = "Azuretiller-Outcome"
	// Trace is the header that gives the caller the trace ID of its request.
	Trace    = "Azuretiller-Request"
	Timeout  = "Azuretiller-Timeout-Ms"
	NotRun   = "X-Not-Run"
	Draining = "X-Draining"
	// RequestID is the header that gives the trace ID to the backend server, which returns it in its response.
	RequestID = "X-Request-Id"
	// IdempotencyKey is the header in which the caller sends the ID of a request that may run only once.
	IdempotencyKey = "Idempotency-Key"
	// FleetPrefix is the prefix of the headers that only the fleet may set.
	FleetPrefix  = "Azuretiller-"
	apiKeyHeader = "X-Api-Key"
	bearerPrefix = "Bearer "
)

// maxStatus is the highest status of HTTP.
const maxStatus = 599

// keyPlaceholder replaces the caller's key in a forwarded request target.
const keyPlaceholder = "hidden"

func hopByHop() []string {
	return []string{
		"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	}
}

// StripHopByHop removes the hop-by-hop headers, including those that the Connection header lists.
func StripHopByHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop() {
		h.Del(name)
	}
}

// Key returns the API key in the headers of a request, or an empty string.
func Key(h http.Header) string {
	if key := h.Get(apiKeyHeader); key != "" {
		return key
	}
	authorization := h.Get("Authorization")
	if len(authorization) > len(bearerPrefix) && strings.EqualFold(authorization[:len(bearerPrefix)], bearerPrefix) {
		return strings.TrimSpace(authorization[len(bearerPrefix):])
	}
	return ""
}

// StripKey removes the headers in which callers send keys, and every other header whose value contains the given key.
func StripKey(h http.Header, key string) {
	h.Del(apiKeyHeader)
	h.Del("Authorization")
	h.Del("Proxy-Authorization")
	if key == "" {
		return
	}
	for name, values := range h {
		for _, v := range values {
			if strings.Contains(v, key) {
				delete(h, name)
				break
			}
		}
	}
}

// StripFleetHeaders removes the headers that only the fleet may set.
func StripFleetHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, FleetPrefix) {
			delete(h, name)
		}
	}
}

// RedactKey returns the request target of a URL with every occurrence of the given key replaced, also if the key is
// percent-encoded. It removes query parameters whose name contains the key, and a query that cannot be parsed.
func RedactKey(u *url.URL, key string) string {
	target := u.RequestURI()
	if key == "" {
		return target
	}
	out := *u
	if strings.Contains(u.Path, key) {
		out.Path = strings.ReplaceAll(u.Path, key, keyPlaceholder)
		out.RawPath = ""
	}
	if decoded, err := url.QueryUnescape(u.RawQuery); err != nil || strings.Contains(decoded, key) {
		out.RawQuery = redactQuery(u.RawQuery, key)
	}
	return out.RequestURI()
}

func redactQuery(raw, key string) string {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return ""
	}
	for name, list := range values {
		if strings.Contains(name, key) {
			delete(values, name)
			continue
		}
		for i, v := range list {
			list[i] = strings.ReplaceAll(v, key, keyPlaceholder)
		}
	}
	return values.Encode()
}

// IsValidStatus reports whether a response may have a status; net/http accepts any three digits, such as 000.
func IsValidStatus(status int) bool { return status >= http.StatusContinue && status <= maxStatus }
