package manifest

import (
	"fmt"
	"reflect"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// checkShape compares a node with the type that it shall fill and notes every
// unknown or repeated field and every value of another type. It also notes
// the line of each field.
func checkShape(r *report, node ast.Node, t reflect.Type, path string) {
	if t == reflect.TypeFor[time.Duration]() {
		checkDuration(r, node, path)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		checkMapping(r, node, t, path)
	case reflect.Slice:
		checkSequence(r, node, t, path)
	default:
		checkScalar(r, node, t, path)
	}
}

func checkMapping(r *report, node ast.Node, t reflect.Type, path string) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		r.add(path, "must be a mapping")
		return
	}
	fields := fieldsByName(t)
	seen := make(map[string]bool, len(fields))
	for entries := mapping.MapRange(); entries.Next(); {
		name := keyText(entries.Key())
		inner := join(path, name)
		field, known := fields[name]
		if !known {
			r.lines[inner] = entries.Key().GetToken().Position.Line
			r.add(inner, "is not a known field")
			continue
		}
		if seen[name] {
			r.add(inner, "occurs twice")
			continue
		}
		seen[name] = true
		r.lines[inner] = entries.Key().GetToken().Position.Line
		checkShape(r, entries.Value(), field.Type, inner)
	}
}

func checkSequence(r *report, node ast.Node, t reflect.Type, path string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		r.add(path, "must be a list")
		return
	}
	for i, value := range sequence.Values {
		inner := fmt.Sprintf("%s[%d]", path, i)
		if value.GetToken() != nil {
			r.lines[inner] = value.GetToken().Position.Line
		}
		checkShape(r, value, t.Elem(), inner)
	}
}

func checkScalar(r *report, node ast.Node, t reflect.Type, path string) {
	target := reflect.Zero(t)
	switch {
	case target.CanInt():
		value, ok := integer(node).(int64)
		if !ok || target.OverflowInt(value) {
			r.add(path, "must be a whole number")
		}
	case target.CanUint():
		value, ok := integer(node).(int64)
		if _, large := integer(node).(uint64); !large && (!ok || value < 0) {
			r.add(path, "must be a whole number from 0")
		}
	case target.CanFloat():
		_, isFloat := node.(*ast.FloatNode)
		if integer(node) == nil && !isFloat {
			r.add(path, "must be a number")
		}
	default:
		if _, ok := text(node); !ok {
			r.add(path, "must be text; quote it")
		}
	}
}

// checkDuration wants a unit, since a bare number would not say which it is.
func checkDuration(r *report, node ast.Node, path string) {
	if value, ok := text(node); ok {
		if _, err := time.ParseDuration(value); err == nil {
			return
		}
	}
	r.add(path, "must be a duration with its unit, such as 800ms")
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

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
