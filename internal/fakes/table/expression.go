package table

import (
	"fmt"
	"strings"
	"text/scanner"
)

// expressionAttributes holds the attribute names and values that an expression refers to.
type expressionAttributes struct {
	Names  map[string]string `json:"ExpressionAttributeNames"`
	Values map[string]value  `json:"ExpressionAttributeValues"`
}

// condition reports whether an item satisfies an expression; a missing item is nil.
type condition func(item) bool

// expressionParser parses condition expressions by recursive descent.
type expressionParser struct {
	expressionAttributes
	scan  scanner.Scanner
	token string
	// partition is the value that the expression requires the partition key to equal.
	partition *string
}

// parse compiles a condition expression; an empty one is always true.
func (n expressionAttributes) parse(text string) (condition, error) {
	if text == "" {
		return func(item) bool { return true }, nil
	}
	return (&expressionParser{expressionAttributes: n}).compile(text)
}

// parseKey compiles a key condition expression and returns the partition that it selects.
func (n expressionAttributes) parseKey(text string) (condition, string, error) {
	e := &expressionParser{expressionAttributes: n}
	holds, err := e.compile(text)
	if err != nil {
		return nil, "", err
	}
	if e.partition == nil {
		return nil, "", validationError("query condition missed key schema element: pk")
	}
	return holds, *e.partition, nil
}

func (e *expressionParser) compile(text string) (holds condition, err error) {
	e.scan.Init(strings.NewReader(text))
	e.scan.Error = func(*scanner.Scanner, string) {}
	e.scan.IsIdentRune = func(ch rune, i int) bool {
		return ch == '_' || ch == '#' && i == 0 || ch == ':' && i == 0 || ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' || ch >= '0' && ch <= '9' && i > 0
	}
	e.next()
	defer func() {
		if failure, ok := recover().(syntaxError); ok {
			holds, err = nil, validationError("invalid expression %q: %s", text, string(failure))
		}
	}()
	holds = e.or()
	if e.token != "" {
		e.fail("unexpected %q", e.token)
	}
	return holds, nil
}

type syntaxError string

func (e *expressionParser) fail(format string, args ...any) {
	panic(syntaxError(fmt.Sprintf(format, args...)))
}

func (e *expressionParser) next() {
	if e.scan.Scan() == scanner.EOF {
		e.token = ""
		return
	}
	e.token = e.scan.TokenText()
	if (e.token == "<" || e.token == ">") && (e.scan.Peek() == '=' || e.token == "<" && e.scan.Peek() == '>') {
		e.scan.Scan()
		e.token += e.scan.TokenText()
	}
}

func (e *expressionParser) accept(word string) bool {
	if !strings.EqualFold(e.token, word) {
		return false
	}
	e.next()
	return true
}

func (e *expressionParser) expect(word string) {
	if !e.accept(word) {
		e.fail("expected %q, found %q", word, e.token)
	}
}

func (e *expressionParser) or() condition {
	left := e.and()
	for e.accept("OR") {
		first, second := left, e.and()
		left = func(i item) bool { return first(i) || second(i) }
	}
	return left
}

func (e *expressionParser) and() condition {
	left := e.term()
	for e.accept("AND") {
		first, second := left, e.term()
		left = func(i item) bool { return first(i) && second(i) }
	}
	return left
}

func (e *expressionParser) term() condition {
	switch {
	case e.accept("NOT"):
		inner := e.term()
		return func(i item) bool { return !inner(i) }
	case e.accept("("):
		inner := e.or()
		e.expect(")")
		return inner
	case e.accept("attribute_exists"):
		name := e.argument()
		return func(i item) bool { _, found := i[name]; return found }
	case e.accept("attribute_not_exists"):
		name := e.argument()
		return func(i item) bool { _, found := i[name]; return !found }
	default:
		return e.comparison()
	}
}

func (e *expressionParser) argument() string {
	e.expect("(")
	name := e.name()
	e.expect(")")
	return name
}

func (e *expressionParser) comparison() condition {
	name := e.name()
	operator := e.token
	e.next()
	if strings.EqualFold(operator, "BETWEEN") {
		low := e.value()
		e.expect("AND")
		high := e.value()
		return func(i item) bool {
			return compareAttribute(i, name, ">=", low) && compareAttribute(i, name, "<=", high)
		}
	}
	if !strings.Contains(" = <> < <= > >= ", " "+operator+" ") {
		e.fail("unknown operator %q", operator)
	}
	operand := e.value()
	if name == "pk" && operator == "=" {
		e.partition = operand.S
	}
	return func(i item) bool { return compareAttribute(i, name, operator, operand) }
}

func (e *expressionParser) name() string {
	name := e.token
	e.next()
	if !strings.HasPrefix(name, "#") {
		e.fail("attribute %q must be given through ExpressionAttributeNames", name)
	}
	attribute, found := e.Names[name]
	if !found {
		e.fail("name %q is not defined", name)
	}
	return attribute
}

func (e *expressionParser) value() value {
	name := e.token
	e.next()
	v, found := e.Values[name]
	if !found {
		e.fail("value %q is not defined", name)
	}
	return v
}

func compareAttribute(i item, name, operator string, operand value) bool {
	v, found := i[name]
	if !found {
		return false
	}
	order, comparable := v.compare(operand)
	if !comparable {
		return operator == "<>"
	}
	switch operator {
	case "=":
		return order == 0
	case "<>":
		return order != 0
	case "<":
		return order < 0
	case "<=":
		return order <= 0
	case ">":
		return order > 0
	default:
		return order >= 0
	}
}
