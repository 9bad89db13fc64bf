package azuretiller

// RateShare is a part of the rates of all teams, in millionths.
type RateShare int64

// WholeRate is the share that contains the rates completely.
const WholeRate RateShare = 1_000_000

// Of returns this share of an amount.
func (s RateShare) Of(amount float64) float64 { return amount * float64(s) / float64(WholeRate) }
