package invalidentry

import (
	"encoding/json"
	"fmt"
	"strings"
)

const (
	// longBytes is the size of overlong values: the largest record of the store, less the rest of the entry.
	longBytes = 255 << 10
	// nestingLevels is the depth of nested lists that JSON decoders reject, and moderateLevels a depth that they accept.
	nestingLevels  = 100_000
	moderateLevels = 1000
)

// Entry is one entry with its key in the registry.
type Entry struct {
	ID    string
	Value []byte
}

// List returns invalid entries, most of which resemble the entries of backend servers of a service. Nothing listens on their addresses.
func List(service, zone string) []Entry {
	valid := field(service, zone, "", nil)
	return append(Values(service, zone),
		Entry{ID: "x-\xff", Value: valid},
		Entry{ID: "", Value: valid},
		Entry{ID: "x-1\r\nX-Tenant-Id: other", Value: valid},
		Entry{ID: strings.Repeat("y", 255), Value: []byte("null")},
	)
}

// Values returns the entries of List that are invalid under any id.
func Values(service, zone string) []Entry {
	nested := strings.Repeat("[", nestingLevels) + strings.Repeat("]", nestingLevels)
	long := strings.Repeat("x", longBytes)
	number := func(text string) json.RawMessage { return json.RawMessage(text) }
	values := [][]byte{
		field(service, zone, "more", json.RawMessage(nested[nestingLevels-moderateLevels:nestingLevels+moderateLevels])),
		field(service, zone, "sequence", number("9223372036854775807")),
		field(service, zone, "sequence", number("1e400")),
		field(service, zone, "born", number("9223372036854775807")),
		field(service, zone, "concurrencyLimit", number("9223372036854775807")),
		field(service, zone, "concurrencyLimit", number("1099511627776")),
		field(service, zone, "concurrencyLimit", number("0")),
		field(service, zone, "concurrencyLimit", number("-1")),
		field(service, zone, "address", "127.0.0.1:99999"),
		field(service, zone, "address", "127.0.0.1:0"),
		field(service, zone, "address", ""),
		field(service, zone, "address", "[::1"),
		field(service, zone, "address", "[::1%"+long+"]:80"),
		field(service, zone, "zone", long),
		field(service, zone, "zone", "z\nlevel=error"),
		field(service, zone, "service", json.RawMessage("null")),
		field(service, zone, "service", ""),
		field(service, zone, "service", []string{service}),
		field(service, zone, "state", "resting"),
		field(service, zone, "warmupLeft", "2562047h"),
		field(service, zone, "warmupLeft", "-2562047h"),
		[]byte(strings.Repeat(`{"service":`, nestingLevels/10)),
		[]byte(nested),
		{0, 0xff, 0xfe},
	}
	var entries []Entry
	for i, value := range values {
		entries = append(entries, Entry{ID: fmt.Sprint("x-", i), Value: value})
	}
	return entries
}

// field returns a valid entry in which one field is replaced or added, or a valid entry if the name is empty.
func field(service, zone, name string, value any) []byte {
	e := map[string]any{
		"service": service, "address": "127.0.0.1:9", "zone": zone, "version": "v1", "concurrencyLimit": 3, "state": "ready", "warmupLeft": "0ms", "sequence": 1, "born": 1,
	}
	if name != "" {
		e[name] = value
	}
	data, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return data
}
