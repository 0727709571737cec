package manifest

import (
	"fmt"
	"reflect"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// shape compares a document with the type that it shall fill.
type shape struct {
	report *report
	// undecoded are the paths of values of another type.
	undecoded []string
}

// checkShape notes every unknown or repeated field and every value of another
// type, and the line of each field. Values of another type are replaced by
// null, so that the rest can be decoded and checked too.
func checkShape(r *report, node ast.Node, t reflect.Type) {
	s := shape{report: r}
	s.check(node, t, "")
	r.undecoded = s.undecoded
}

// check returns the node that decodes into the type without an error.
func (s *shape) check(node ast.Node, t reflect.Type, path string) ast.Node {
	var fault string
	switch {
	case t == reflect.TypeFor[time.Duration]():
		fault = durationFault(node)
	case t.Kind() == reflect.Struct:
		fault = s.checkMapping(node, t, path)
	case t.Kind() == reflect.Slice:
		fault = s.checkSequence(node, t, path)
	default:
		fault = scalarFault(node, t)
	}
	if fault == "" {
		return node
	}
	s.report.add(path, "%s", fault)
	s.undecoded = append(s.undecoded, path)
	return ast.Null(node.GetToken())
}

func (s *shape) checkMapping(node ast.Node, t reflect.Type, path string) (fault string) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		return "must be a mapping"
	}
	fields := fieldsByName(t)
	seen := make(map[string]bool, len(fields))
	for entries := mapping.MapRange(); entries.Next(); {
		name := keyText(entries.Key())
		inner := joinPath(path, name)
		if !seen[name] {
			s.report.lines[inner] = entries.Key().GetToken().Position.Line
		}
		field, known := fields[name]
		switch {
		case !known:
			s.report.add(inner, "is not a known field")
		case seen[name]:
			s.report.add(inner, "occurs twice")
		default:
			entry := entries.KeyValue()
			entry.Value = s.check(entry.Value, field.Type, inner)
		}
		seen[name] = true
	}
	return ""
}

func (s *shape) checkSequence(node ast.Node, t reflect.Type, path string) (fault string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		return "must be a list"
	}
	for i, value := range sequence.Values {
		inner := fmt.Sprintf("%s[%d]", path, i)
		if value.GetToken() != nil {
			s.report.lines[inner] = value.GetToken().Position.Line
		}
		sequence.Values[i] = s.check(value, t.Elem(), inner)
	}
	return ""
}

func scalarFault(node ast.Node, t reflect.Type) string {
	target := reflect.Zero(t)
	small, isSmall := integer(node).(int64)
	_, isLarge := integer(node).(uint64)
	_, isFloat := node.(*ast.FloatNode)
	_, isText := text(node)
	switch {
	case target.CanInt() && (!isSmall || target.OverflowInt(small)):
		return "must be a whole number"
	case target.CanUint() && !isLarge && (!isSmall || small < 0):
		return "must be a whole number from 0"
	case target.CanFloat() && !isSmall && !isLarge && !isFloat:
		return "must be a number"
	case t.Kind() == reflect.String && !isText:
		return "must be text; quote it"
	default:
		return ""
	}
}

// durationFault wants a unit, since a bare number would not say which it is.
func durationFault(node ast.Node) string {
	if value, ok := text(node); ok {
		if _, err := time.ParseDuration(value); err == nil {
			return ""
		}
	}
	return "must be a duration with its unit, such as 800ms"
}

// integer returns the int64 or uint64 of a node, or nil.
func integer(node ast.Node) any {
	number, ok := node.(*ast.IntegerNode)
	if !ok {
		return nil
	}
	if small, ok := number.Value.(uint64); ok && small <= 1<<63-1 {
		return int64(small)
	}
	return number.Value
}

// text returns the text of a string node.
func text(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	default:
		return "", false
	}
}

func keyText(key ast.MapKeyNode) string {
	if name, ok := text(key); ok {
		return name
	}
	return key.String()
}

// fieldsByName returns the fields of a struct by their name in a document.
func fieldsByName(t reflect.Type) map[string]reflect.StructField {
	fields := make(map[string]reflect.StructField, t.NumField())
	for i := range t.NumField() {
		field := t.Field(i)
		fields[field.Tag.Get("yaml")] = field
	}
	return fields
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
