package headers

import (
	"net/http"
	"net/url"
	"strings"
)

// The names of the headers that callers and backend servers see.
const (
	Code        = "Azuretiller-Code"
	Outcome     = "Azuretiller-Outcome"
	Trace       = "Azuretiller-Request"
	Timeout     = "Azuretiller-Timeout-Ms"
	NotRun      = "X-Not-Run"
	Draining    = "X-Draining"
	RequestID   = "X-Request-Id"
	Idempotency = "Idempotency-Key"
	// OwnPrefix begins the headers that only the fleet may set.
	OwnPrefix = "Azuretiller-"
	apiKey    = "X-Api-Key"
	bearer    = "Bearer "
)

const hidden = "hidden"

func hopByHop() []string {
	return []string{
		"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
	}
}

// StripHopByHop removes the headers that concern one connection only.
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

// Key returns the key that a request carries, or an empty text.
func Key(h http.Header) string {
	if key := h.Get(apiKey); key != "" {
		return key
	}
	authorization := h.Get("Authorization")
	if len(authorization) > len(bearer) && strings.EqualFold(authorization[:len(bearer)], bearer) {
		return strings.TrimSpace(authorization[len(bearer):])
	}
	return ""
}

// StripKey removes the headers that carry keys and every other place where the given key stands.
func StripKey(h http.Header, key string) {
	h.Del(apiKey)
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

// StripOwn removes the headers that only the fleet may set.
func StripOwn(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, OwnPrefix) {
			delete(h, name)
		}
	}
}

// HideKey returns a request target in which the given key is replaced wherever it stands, also percent-encoded.
func HideKey(u *url.URL, key string) string {
	target := u.RequestURI()
	if key == "" {
		return target
	}
	out := *u
	if strings.Contains(u.Path, key) {
		out.Path = strings.ReplaceAll(u.Path, key, hidden)
		out.RawPath = ""
	}
	if decoded, err := url.QueryUnescape(u.RawQuery); err != nil || strings.Contains(decoded, key) {
		out.RawQuery = hideInQuery(u.RawQuery, key)
	}
	return out.RequestURI()
}

func hideInQuery(raw, key string) string {
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
			list[i] = strings.ReplaceAll(v, key, hidden)
		}
	}
	return values.Encode()
}
