package manifest

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind says how a part of the configuration changes.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference in what is in force.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Path leads to the part, with names in place of indexes, such as
	// classes[payment].tier.
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
	// Effect says what the change means for requests.
	Effect string `json:"effect"`
}

// Diff returns what changes in force when newer replaces older, in the order
// of the document. Both must be valid. The order of entries only counts for
// routes, and defaults count as if they were written.
func Diff(older, newer *Manifest) []Change {
	before, after := flatten(older), flatten(newer)
	var changes []Change
	for _, path := range orderedPaths(before, after) {
		was, had := before.values[path]
		is, has := after.values[path]
		if had && has && (was == is || after.entries[path]) {
			continue // an entry's fields speak for it
		}
		if had != has && within(path, before, after) {
			continue // the entry speaks for its fields
		}
		change := Change{Kind: Changed, Path: path, Old: was, New: is}
		switch {
		case !had:
			change.Kind = Added
		case !has:
			change.Kind = Removed
		}
		change.Effect = effect(change)
		changes = append(changes, change)
	}
	return changes
}

// orderedPaths returns the paths of both: those of after in its order, then
// those that only before has.
func orderedPaths(before, after *flat) []string {
	paths := slices.Clone(after.paths)
	for _, path := range before.paths {
		if _, kept := after.values[path]; !kept {
			paths = append(paths, path)
		}
	}
	return paths
}

// within reports whether the path is a field of an entry that only one of the
// two has.
func within(path string, before, after *flat) bool {
	entry, field, _ := strings.Cut(path, "].")
	entry += "]"
	return field != "" && before.entries[entry] != after.entries[entry]
}

// flat is a manifest as text values by path.
type flat struct {
	paths  []string
	values map[string]string
	// entries are the paths of named entries; their value sums up all fields.
	entries map[string]bool
}

func (f *flat) set(path, value string) {
	f.paths = append(f.paths, path)
	f.values[path] = value
}

// summary joins the values of fields.
func (f *flat) summary(prefix string, paths []string) string {
	fields := make([]string, 0, len(paths))
	for _, path := range paths {
		fields = append(fields, strings.TrimPrefix(path, prefix)+"="+f.values[path])
	}
	return strings.Join(fields, " ")
}

func flatten(m *Manifest) *flat {
	f := &flat{values: make(map[string]string), entries: make(map[string]bool)}
	f.set("version", fmt.Sprint(m.Version))
	f.set("deployment", m.Deployment)
	flattenEntries(f, "classes", m.Classes, func(c Class) string { return c.Name })
	flattenEntries(f, "models", m.Models, func(m Model) string { return m.Name })
	flattenEntries(f, "services", m.Services, func(s Service) string { return s.Name })
	flattenEntries(f, "accounts", m.Accounts, func(a ClientAccount) string { return a.Name })
	flattenEntries(f, "routes", m.Routes, Route.label)
	if len(m.Routes) > 1 {
		f.set("routes", strings.Join(routeOrder(m), " > "))
	}
	flattenStruct(f, "limits", reflect.ValueOf(m.Limits.WithDefaults()))
	return f
}

func flattenEntries[T any](f *flat, path string, entries []T, name func(T) string) {
	for _, entry := range entries {
		inner := fmt.Sprintf("%s[%s]", path, name(entry))
		f.entries[inner] = true
		f.set(inner, "")
		first := len(f.paths)
		flattenStruct(f, inner, reflect.ValueOf(entry))
		f.values[inner] = f.summary(inner+".", f.paths[first:])
	}
}

// flattenStruct sets a value for each field that is not zero.
func flattenStruct(f *flat, path string, v reflect.Value) {
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("yaml")
		field := v.Field(i)
		inner := joinPath(path, name)
		switch {
		case field.Kind() == reflect.Struct:
			flattenStruct(f, inner, field)
		case name == "name" || field.IsZero():
		case field.Kind() == reflect.Slice:
			f.set(inner, fmt.Sprintf("%v", field.Interface()))
		default:
			f.set(inner, fmt.Sprint(field.Interface()))
		}
	}
}

// label names a route by what it matches.
func (r Route) label() string {
	if r.Model != "" {
		return r.Model
	}
	methods := strings.Join(r.Methods, "|")
	if methods == "" {
		methods = "*"
	}
	return fmt.Sprintf("%s %s %s", r.Service, methods, r.PathPrefix)
}

func routeOrder(m *Manifest) []string {
	labels := make([]string, 0, len(m.Routes))
	for _, route := range m.Routes {
		labels = append(labels, route.label())
	}
	return labels
}
