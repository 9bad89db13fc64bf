package settings

import "fmt"

// Problem is one validation error in a settings file.
type Problem struct {
	File  string
	Line  int
	Field string
	Text  string
}

// String formats the problem as "file:line: field: text".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Field, p.Text)
}
