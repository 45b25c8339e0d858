package strict

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// checker validates the nodes of a document against the Go type that they are decoded into.
// The YAML decoder stops at the first error and does not report the line of a value that fails in UnmarshalText.
type checker struct {
	lines    map[string]int
	problems Problems
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func (c *checker) value(node ast.Node, typ reflect.Type, path string) {
	if _, known := c.lines[path]; !known {
		c.lines[path] = lineOf(node)
	}
	switch node := node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.MergeKeyNode, *ast.TagNode:
		c.add(node, path, "write the value itself", "anchors, aliases and tags are not accepted")
		return
	case *ast.NullNode:
		c.add(node, path, "write a value or remove the field", "the field has no value")
		return
	}
	if typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	if reflect.PointerTo(typ).Implements(textUnmarshaler) {
		c.text(node, typ, path)
		return
	}
	switch typ.Kind() {
	case reflect.Struct:
		c.mapping(node, typ, path)
	case reflect.Slice:
		c.sequence(node, typ, path)
	default:
		c.scalar(node, typ, path)
	}
}

func (c *checker) mapping(node ast.Node, typ reflect.Type, path string) {
	mapping, isMapping := node.(ast.MapNode)
	if !isMapping {
		c.add(node, path, "write fields such as "+strings.Join(fieldNames(typ), ", "), "expected fields, found %s", describe(node))
		return
	}
	seen := make(map[string]bool)
	entries := mapping.MapRange()
	for entries.Next() {
		c.entry(entries.KeyValue(), typ, path, seen)
	}
}

func (c *checker) entry(entry *ast.MappingValueNode, typ reflect.Type, path string, seen map[string]bool) {
	name := entry.Key.GetToken().Value
	field := join(path, name)
	c.lines[field] = lineOf(entry.Key)
	member, known := findField(typ, name)
	switch {
	case !known:
		c.add(entry.Key, field, "remove it or use one of "+strings.Join(fieldNames(typ), ", "), "unknown field")
	case seen[name]:
		c.add(entry.Key, field, "keep one of them", "the field is given twice")
	default:
		seen[name] = true
		c.value(entry.Value, member.Type, field)
	}
}

func (c *checker) sequence(node ast.Node, typ reflect.Type, path string) {
	list, isList := node.(*ast.SequenceNode)
	if !isList {
		c.add(node, path, "write a list, one entry per line, each after a hyphen", "expected a list, found %s", describe(node))
		return
	}
	for i, value := range list.Values {
		c.value(value, typ.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (c *checker) text(node ast.Node, typ reflect.Type, path string) {
	scalar, isScalar := node.(ast.ScalarNode)
	if !isScalar {
		c.add(node, path, "write a single value", "expected a value, found %s", describe(node))
		return
	}
	receiver := reflect.New(typ).Interface().(encoding.TextUnmarshaler)
	if err := receiver.UnmarshalText([]byte(scalar.GetToken().Value)); err != nil {
		detail, remedy, _ := strings.Cut(err.Error(), ": ")
		c.add(node, path, remedy, "invalid %s", detail)
	}
}

func (c *checker) scalar(node ast.Node, typ reflect.Type, path string) {
	scalar, isScalar := node.(ast.ScalarNode)
	if !isScalar {
		c.add(node, path, "write a single value", "expected a value, found %s", describe(node))
		return
	}
	text := scalar.GetToken().Value
	if remedy := scalarRemedy(scalar, typ, text); remedy != "" {
		c.add(node, path, remedy, "impossible value %q", text)
	}
}

// scalarRemedy returns the remedy for a scalar that the type can't hold, or an empty string if it fits.
func scalarRemedy(node ast.ScalarNode, typ reflect.Type, text string) string {
	var err error
	switch typ.Kind() {
	case reflect.String:
		if node.Type() != ast.StringType && node.Type() != ast.LiteralType {
			return "write a text; put it in quotes when it looks like a number or a boolean"
		}
	case reflect.Bool:
		if node.Type() != ast.BoolType {
			return "write true or false"
		}
	case reflect.Int, reflect.Int64:
		if _, err = strconv.ParseInt(text, 10, typ.Bits()); err != nil || node.Type() != ast.IntegerType {
			return "write a whole decimal number without a unit"
		}
	case reflect.Uint, reflect.Uint64:
		if _, err = strconv.ParseUint(text, 10, typ.Bits()); err != nil || node.Type() != ast.IntegerType {
			return "write a whole decimal number that is not negative, without a unit"
		}
	case reflect.Float64:
		if _, err = strconv.ParseFloat(text, typ.Bits()); err != nil || (node.Type() != ast.FloatType && node.Type() != ast.IntegerType) {
			return "write a decimal number without a unit"
		}
	default:
		return "the field can't be set in a file"
	}
	return ""
}

func (c *checker) add(node ast.Node, field, remedy, format string, args ...any) {
	c.problems = append(c.problems, Problem{
		Line: lineOf(node), Field: field, Detail: fmt.Sprintf(format, args...), Remedy: remedy,
	})
}

func findField(typ reflect.Type, name string) (reflect.StructField, bool) {
	for _, field := range reflect.VisibleFields(typ) {
		if fieldName(field) == name {
			return field, true
		}
	}
	return reflect.StructField{}, false
}

func fieldNames(typ reflect.Type) []string {
	var names []string
	for _, field := range reflect.VisibleFields(typ) {
		if name := fieldName(field); name != "" {
			names = append(names, name)
		}
	}
	return names
}

func fieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func describe(node ast.Node) string {
	switch node.(type) {
	case ast.MapNode:
		return "fields"
	case *ast.SequenceNode:
		return "a list"
	default:
		return "a single value"
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func lineOf(node ast.Node) int {
	if token := node.GetToken(); token != nil && token.Position != nil {
		return token.Position.Line
	}
	return 0
}
