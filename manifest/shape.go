package manifest

import (
	"fmt"
	"reflect"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// shapeChecker compares a document with the Go type that it is decoded into.
type shapeChecker struct {
	report *report
	// undecoded are the paths of values that have the wrong type. The report gets
	// them only at the end of the check, since it ignores later problems at, above
	// and below these paths.
	undecoded []string
}

// checkShape reports every unknown or duplicate field and every value of the
// wrong type, and records the line of each field. It replaces values of the
// wrong type by null, so that the rest of the document can be decoded and
// checked too.
func checkShape(r *report, node ast.Node, t reflect.Type) {
	s := shapeChecker{report: r}
	s.check(node, t, "")
	r.undecoded = s.undecoded
}

// check checks a node and the nodes below it. It returns the node, or a null node
// if the node cannot be decoded into the type.
func (s *shapeChecker) check(node ast.Node, t reflect.Type, path string) ast.Node {
	var problem string
	switch {
	case t == reflect.TypeFor[time.Duration]():
		problem = checkDuration(node)
	case t.Kind() == reflect.Struct:
		problem = s.checkMapping(node, t, path)
	case t.Kind() == reflect.Slice:
		problem = s.checkSequence(node, t, path)
	default:
		problem = checkScalar(node, t)
	}
	if problem == "" {
		return node
	}
	s.report.add(path, "%s", problem)
	s.undecoded = append(s.undecoded, path)
	return ast.Null(node.GetToken())
}

func (s *shapeChecker) checkMapping(node ast.Node, t reflect.Type, path string) (problem string) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		return "must be a mapping"
	}
	fields := fieldsByName(t)
	seen := make(map[string]bool, len(fields))
	for entries := mapping.MapRange(); entries.Next(); {
		name := keyName(entries.Key())
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

func (s *shapeChecker) checkSequence(node ast.Node, t reflect.Type, path string) (problem string) {
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

// checkScalar returns the problem of a number or string, or "".
func checkScalar(node ast.Node, t reflect.Type) string {
	target := reflect.Zero(t)
	signed, isSigned := integerValue(node).(int64)
	_, isLarge := integerValue(node).(uint64)
	_, isFloat := node.(*ast.FloatNode)
	_, isString := stringValue(node)
	switch {
	case target.CanInt() && (!isSigned || target.OverflowInt(signed)):
		return "must be a whole number"
	case target.CanUint() && !isLarge && (!isSigned || signed < 0):
		return "must be a whole number from 0"
	case target.CanFloat() && !isSigned && !isLarge && !isFloat:
		return "must be a number"
	case t.Kind() == reflect.String && !isString:
		return "must be text; quote it"
	default:
		return ""
	}
}

// checkDuration returns the problem of a duration, or "". A duration needs a
// unit, since a bare number is ambiguous.
func checkDuration(node ast.Node) string {
	if text, ok := stringValue(node); ok {
		if _, err := time.ParseDuration(text); err == nil {
			return ""
		}
	}
	return "must be a duration with its unit, such as 800ms"
}

// integerValue returns the value of an integer node: an int64 if it fits,
// otherwise a uint64. It returns nil for other nodes.
func integerValue(node ast.Node) any {
	number, ok := node.(*ast.IntegerNode)
	if !ok {
		return nil
	}
	if value, ok := number.Value.(uint64); ok && value <= 1<<63-1 {
		return int64(value)
	}
	return number.Value
}

// stringValue returns the value of a string node.
func stringValue(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	default:
		return "", false
	}
}

func keyName(key ast.MapKeyNode) string {
	if name, ok := stringValue(key); ok {
		return name
	}
	return key.String()
}

// fieldsByName returns the fields of a struct by their names in a document.
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
