package manifest

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind is how a part of the configuration changes.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two manifests.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Path is the path of the changed part, with names in place of indexes, such
	// as classes[payment].tier.
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
	// Effect describes what the change means for requests.
	Effect string `json:"effect"`
}

// Diff returns the changes that take effect when newer replaces older, in the order
// of the fields of Manifest, with removed parts last. Both manifests must be valid.
// The order of entries matters only for routes. Limits that are not set count as set
// to their defaults.
func Diff(older, newer *Manifest) []Change {
	before, after := flatten(older), flatten(newer)
	var changes []Change
	for _, path := range orderedPaths(before, after) {
		oldValue, inOlder := before.values[path]
		newValue, inNewer := after.values[path]
		if inOlder && inNewer && (oldValue == newValue || after.entries[path]) {
			continue // the fields of an entry that exists in both are compared separately
		}
		if inOlder != inNewer && inAddedOrRemovedEntry(path, before, after) {
			continue // the change of the entry already lists its fields
		}
		change := Change{Kind: Changed, Path: path, Old: oldValue, New: newValue}
		switch {
		case !inOlder:
			change.Kind = Added
		case !inNewer:
			change.Kind = Removed
		}
		change.Effect = effect(change)
		changes = append(changes, change)
	}
	return changes
}

// orderedPaths returns the paths of after in their order, followed by those that
// occur only in before.
func orderedPaths(before, after *flatManifest) []string {
	paths := slices.Clone(after.paths)
	for _, path := range before.paths {
		if _, exists := after.values[path]; !exists {
			paths = append(paths, path)
		}
	}
	return paths
}

// inAddedOrRemovedEntry reports whether the path is a field of an entry that
// exists in only one of the two manifests.
func inAddedOrRemovedEntry(path string, before, after *flatManifest) bool {
	entry, field, _ := strings.Cut(path, "].")
	entry += "]"
	return field != "" && before.entries[entry] != after.entries[entry]
}

// flatManifest maps the paths of a manifest to their values as text.
type flatManifest struct {
	// paths are the keys of values, in the order of the fields of Manifest.
	paths  []string
	values map[string]string
	// entries contains the paths of classes, models, services, accounts and routes,
	// such as classes[payment]. The value of an entry lists all of its fields.
	entries map[string]bool
}

func (f *flatManifest) set(path, value string) {
	f.paths = append(f.paths, path)
	f.values[path] = value
}

// summary returns the fields at the paths as a list of name=value, with the
// prefix removed from the names.
func (f *flatManifest) summary(prefix string, paths []string) string {
	fields := make([]string, 0, len(paths))
	for _, path := range paths {
		fields = append(fields, strings.TrimPrefix(path, prefix)+"="+f.values[path])
	}
	return strings.Join(fields, " ")
}

func flatten(m *Manifest) *flatManifest {
	f := &flatManifest{values: make(map[string]string), entries: make(map[string]bool)}
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

func flattenEntries[T any](f *flatManifest, path string, entries []T, name func(T) string) {
	for _, entry := range entries {
		inner := fmt.Sprintf("%s[%s]", path, name(entry))
		f.entries[inner] = true
		f.set(inner, "")
		first := len(f.paths)
		flattenStruct(f, inner, reflect.ValueOf(entry))
		f.values[inner] = f.summary(inner+".", f.paths[first:])
	}
}

// flattenStruct sets a value for each field that is not zero, except the name of
// an entry, which is part of the path.
func flattenStruct(f *flatManifest, path string, v reflect.Value) {
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

// label identifies a route by the requests that it matches.
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
