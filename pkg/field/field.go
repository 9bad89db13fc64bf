package field

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the type of a field's value.
type Kind int

// The kinds of values with their JSON forms.
const (
	// Bool is true or false.
	Bool Kind = iota + 1
	// Count is an integer from the field's Minimum to maxNumber.
	Count
	// Ratio is a number from 0 to 1.
	Ratio
	// NonNegative is a number from 0 to maxNumber.
	NonNegative
	// Duration is a duration string such as "250ms".
	Duration
	// Text is a string.
	Text
	// StringList is a list of strings.
	StringList
)

// Field describes one field of the settings tree.
type Field struct {
	Name string
	Kind Kind
	// Default is the JSON text of the value that applies when neither a branch nor any of its parents sets the field.
	Default string
	// Minimum is the smallest valid value of a Count; other kinds do not use it.
	Minimum int
	Help    string
}

const (
	maxNumber   = 1 << 40
	maxDuration = 24 * time.Hour
)

// Check returns an error if raw, a JSON text, is not a valid value of the field.
func (f Field) Check(raw string) error {
	switch f.Kind {
	case Bool:
		return decode(raw, new(bool), "true or false")
	case Count:
		return f.checkCount(raw)
	case Ratio, NonNegative:
		return f.checkNumber(raw)
	case Duration:
		return f.checkDuration(raw)
	case Text:
		return decode(raw, new(string), "a string")
	case StringList:
		return decode(raw, new([]string), "a list of strings")
	default:
		return errors.Newf("field %s has an unknown kind", f.Name)
	}
}

func (f Field) checkCount(raw string) error {
	var n int
	if err := decode(raw, &n, "a whole number"); err != nil {
		return err
	}
	if n < f.Minimum || n > maxNumber {
		return errors.Newf("must be at least %d and at most %d, not %d", f.Minimum, maxNumber, n)
	}
	return nil
}

func (f Field) checkNumber(raw string) error {
	var x float64
	if err := decode(raw, &x, "a number"); err != nil {
		return err
	}
	if x < 0 || x > maxNumber {
		return errors.Newf("must not be negative or above %d, not %s", maxNumber, raw)
	}
	if f.Kind == Ratio && x > 1 {
		return errors.Newf("must be from 0 to 1, not %s", raw)
	}
	return nil
}

func (f Field) checkDuration(raw string) error {
	var text string
	if err := decode(raw, &text, `a duration such as "250ms"`); err != nil {
		return err
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return errors.Newf("must be a duration such as \"250ms\", not %s", strconv.Quote(text))
	}
	if duration < 0 || duration > maxDuration {
		return errors.Newf("must be from 0s to %s, not %s", maxDuration, text)
	}
	return nil
}

func decode(raw string, into any, want string) error {
	if raw == "null" {
		return errors.Newf("must be %s, not null", want)
	}
	if err := json.Unmarshal([]byte(raw), into); err != nil {
		return errors.Newf("must be %s, not %s", want, raw)
	}
	return nil
}
