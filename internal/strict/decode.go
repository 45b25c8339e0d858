package strict

import (
	"errors"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// MaxSize is the largest accepted file in bytes.
// A ticket with 2,500 routes takes about half a megabyte; larger files are rejected before they are parsed.
const MaxSize = 4 << 20

// Document records the line of each field of a decoded file.
type Document struct {
	file  string
	lines map[string]int
}

// Decode decodes one YAML document into a pointer to a struct; its error has type Problems.
func Decode(file string, data []byte, into any) (*Document, error) {
	if len(data) > MaxSize {
		return nil, newProblems(file, 0, "the file is larger than 4 MiB", "split it")
	}
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, syntaxProblem(file, err)
	}
	body, err := singleBody(file, tree)
	if err != nil {
		return nil, err
	}
	check := checker{lines: make(map[string]int)}
	check.value(body, reflect.TypeOf(into).Elem(), "")
	document := &Document{file: file, lines: check.lines}
	if len(check.problems) > 0 {
		return nil, document.Locate(check.problems)
	}
	if err := yaml.NodeToValue(body, into, yaml.Strict()); err != nil {
		return nil, syntaxProblem(file, err)
	}
	return document, nil
}

// Locate adds file and line to problems that only name a field.
func (d *Document) Locate(problems Problems) error {
	located := make(Problems, 0, len(problems))
	for _, problem := range problems {
		problem.File = d.file
		if problem.Line == 0 {
			problem.Line = d.line(problem.Field)
		}
		located = append(located, problem)
	}
	return located.Err()
}

// Has reports whether the file contains the field.
func (d *Document) Has(field string) bool {
	_, found := d.lines[field]
	return found
}

// line returns the line of the field, or of the nearest enclosing field that the file contains.
func (d *Document) line(field string) int {
	for field != "" {
		if line, found := d.lines[field]; found {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		field = field[:max(cut, 0)]
	}
	return d.lines[""]
}

func singleBody(file string, tree *ast.File) (ast.Node, error) {
	var bodies []ast.Node
	for _, document := range tree.Docs {
		if document.Body != nil && document.Body.Type() != ast.CommentType {
			bodies = append(bodies, document.Body)
		}
	}
	switch len(bodies) {
	case 0:
		return nil, newProblems(file, 1, "the file is empty", "write the fields that docs/design.md and examples/ show")
	case 1:
		return bodies[0], nil
	default:
		return nil, newProblems(file, bodies[1].GetToken().Position.Line, "the file holds more than one YAML document",
			"keep one document per file")
	}
}

func syntaxProblem(file string, err error) error {
	var located yaml.Error
	if !errors.As(err, &located) {
		return newProblems(file, 0, err.Error(), "correct the YAML")
	}
	line := 0
	if token := located.GetToken(); token != nil && token.Position != nil {
		line = token.Position.Line
	}
	return newProblems(file, line, located.GetMessage(), "correct the YAML")
}

func newProblems(file string, line int, detail, remedy string) error {
	return Problems{{File: file, Line: line, Detail: detail, Remedy: remedy}}
}
