package azuretiller

import "fmt"

// termEraBits is the number of bits by which the era is shifted in a term.
const termEraBits = 32

// Term is a leader term (epoch) of the fleet; each new leader has a larger term. Its upper half is the era of the store in which it was
// claimed: a restore may lose the record of a term, which must not be claimed again.
type Term uint64

// Era returns the era in which the term was claimed.
func (t Term) Era() Era { return Era(t >> termEraBits) }

// Next returns the smallest term after t that may be claimed in an era.
func (t Term) Next(e Era) Term { return max(t, Term(e)<<termEraBits) + 1 }

// String returns the era and the number of the term within it, or the number alone in era 0.
func (t Term) String() string {
	number := uint32(t)
	if t.Era() == 0 {
		return fmt.Sprint(number)
	}
	return fmt.Sprintf("%d.%d", t.Era(), number)
}
