package strict

import (
	"fmt"
	"strings"
)

// Problem is one error in a file; Line is 0 if it is not known.
type Problem struct {
	File   string
	Line   int
	Field  string
	Detail string
	Remedy string
}

// Problems is an error that lists all problems found in one file.
type Problems []Problem

// Error formats the problem as `file:line: field: detail; remedy: remedy`.
func (p Problem) Error() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File)
		if p.Line > 0 {
			fmt.Fprintf(&b, ":%d", p.Line)
		}
		b.WriteString(": ")
	}
	if p.Field != "" {
		b.WriteString(p.Field + ": ")
	}
	b.WriteString(p.Detail)
	if p.Remedy != "" {
		b.WriteString("; remedy: " + p.Remedy)
	}
	return b.String()
}

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Add appends a problem of a field.
func (p *Problems) Add(field, remedy, format string, args ...any) {
	*p = append(*p, Problem{Field: field, Detail: fmt.Sprintf(format, args...), Remedy: remedy})
}

// Err returns the problems as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}
