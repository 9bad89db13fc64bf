package azuretiller

import (
	"crypto/sha256"
	"encoding/hex"
)

// Zone is the name of an availability zone, as written in the settings of each VM.
type Zone string

// VMID is the name of a VM of the fleet, as written in its settings.
type VMID string

// Incarnation distinguishes the starts of one VM; a later start has a larger number.
type Incarnation uint64

// TeamID is the name of a team: the last element of the path of its branch below /teams.
type TeamID string

// ServiceID is the name of a service: the last element of the path of its branch below /services.
type ServiceID string

// RouteID is the name of a route, written as "service/route".
type RouteID string

// ServerID is the host:port of a backend server.
type ServerID string

// KeyHash is the lower-case hexadecimal SHA-256 of a caller's key.
type KeyHash string

// HashKey returns the hash of a caller's key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// RequestID is the value of the caller's Idempotency-Key header, or empty if there is none.
type RequestID string

// Offset is a position in the platform's log, counted from 1.
type Offset uint64

// Revision identifies a state of the settings or of the roster by the log offset of the accepted record that last changed it.
type Revision uint64

// Millitokens is an amount of rate-limit tokens in thousandths of a token; one request costs TokenCost.
type Millitokens int64

// TokenCost is the cost of one request in millitokens.
const TokenCost Millitokens = 1000
