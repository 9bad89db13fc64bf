package azuretiller

import (
	"crypto/sha256"
	"encoding/hex"
)

// Zone names an availability zone, as written in the settings of each VM.
type Zone string

// VMID names a VM of the fleet, as written in its settings.
type VMID string

// Incarnation distinguishes the runs of one VM; a later start has a larger number.
type Incarnation uint64

// TeamID names a team, the last element of its branch below /teams.
type TeamID string

// ServiceID names a service, the last element of its branch below /services.
type ServiceID string

// RouteID names a route as "service/route".
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

// RequestID is the caller's Idempotency-Key, or empty.
type RequestID string

// Offset is a position in the platform's log, counted from 1.
type Offset uint64

// Revision is the offset of the last accepted record that a state contains.
type Revision uint64

// Millitokens counts rate tokens in thousandths; one request costs TokenCost.
type Millitokens int64

// TokenCost is the price of one request in millitokens.
const TokenCost Millitokens = 1000
