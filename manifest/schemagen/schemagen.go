// Package schemagen generates the JSON Schema of the manifest from the Go types,
// their validate tags and their comments. The result is committed as
// manifest/schema.json, so that other packages do not depend on the generator.
package schemagen

import (
	"encoding/json"
	"reflect"
	"strings"
	"time"

	"github.com/invopop/jsonschema"
	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/manifest"
	"github.com/sesameswitch/sesameswitch/validation"
)

// ID identifies the schema.
const ID = "urn:sesameswitch:schema:manifest"

// modulePath is the import path of the module. The keys under which the reflector
// looks up comments begin with it.
const modulePath = "github.com/sesameswitch/sesameswitch"

// durationPattern matches unsigned durations in which each number starts with a
// digit and has a unit. time.ParseDuration also accepts signs, "0" and ".5s".
const durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`

// Generate returns the schema. It reads the comments from the module's source in
// the folder root.
func Generate(root string) ([]byte, error) {
	reflector := &jsonschema.Reflector{Mapper: mapType}
	if err := reflector.AddGoComments(modulePath, root+"/manifest"); err != nil {
		return nil, eris.Wrap(err, "read comments")
	}
	reflector.CommentMap = trimPaths(reflector.CommentMap)
	schema := reflector.Reflect(&manifest.Manifest{})
	schema.ID = ID
	schema.Title = "sesameswitch manifest"
	types := []any{
		manifest.Manifest{}, manifest.Class{}, manifest.Targets{}, manifest.Model{},
		manifest.Service{}, manifest.ClientAccount{}, manifest.Route{}, manifest.Limits{},
	}
	for _, sample := range types {
		t := reflect.TypeOf(sample)
		addConstraints(schema.Definitions[t.Name()], t)
	}
	document, err := json.MarshalIndent(schema, "", "  ")
	if err != nil {
		return nil, eris.Wrap(err, "encode schema")
	}
	return append(document, '\n'), nil
}

// trimPaths replaces the path of the source folder in the keys of the comments by
// the import path of the package, as the reflector expects it.
func trimPaths(comments map[string]string) map[string]string {
	trimmed := make(map[string]string, len(comments))
	for key, comment := range comments {
		_, rest, _ := strings.Cut(key, "/manifest.")
		trimmed[modulePath+"/manifest."+rest] = comment
	}
	return trimmed
}

// mapType returns the schema of durations, which are strings in a document.
func mapType(t reflect.Type) *jsonschema.Schema {
	if t != reflect.TypeFor[time.Duration]() {
		return nil
	}
	return &jsonschema.Schema{Type: "string", Pattern: durationPattern, Examples: []any{"800ms", "10m"}}
}

// addConstraints adds the rules of the validate tags of a struct to its schema. The
// ranges of durations are omitted: they are strings in a document, and JSON Schema
// cannot compare them.
func addConstraints(schema *jsonschema.Schema, t reflect.Type) {
	for i := range t.NumField() {
		field := t.Field(i)
		property, ok := schema.Properties.Get(field.Tag.Get("yaml"))
		if !ok || field.Type == reflect.TypeFor[time.Duration]() {
			continue
		}
		own, inner, _ := strings.Cut(field.Tag.Get("validate"), "dive")
		addRules(property, own)
		if property.Items != nil {
			addRules(property.Items, inner)
		}
	}
}

// addRules adds the rules of one validate tag to a schema. It omits the rule
// required, since the reflector requires every field without omitempty or omitzero.
func addRules(schema *jsonschema.Schema, rules string) {
	for _, rule := range strings.Split(rules, ",") {
		tag, parameter, _ := strings.Cut(rule, "=")
		switch tag {
		case "min":
			setMinimum(schema, parameter)
		case "max":
			setMaximum(schema, parameter)
		case "len":
			setLength(schema, parameter)
		case "oneof":
			setEnum(schema, strings.Fields(parameter))
		case "name":
			schema.Pattern = validation.NamePattern
		case "hexadecimal":
			schema.Pattern = "^[0-9a-f]*$" // all fields with this rule must also be in lower case
		}
	}
}

func setMinimum(schema *jsonschema.Schema, parameter string) {
	if schema.Type != "array" {
		schema.Minimum = json.Number(parameter)
		return
	}
	one := uint64(1) // the only minimum of lists in the manifest
	schema.MinItems = &one
}

func setMaximum(schema *jsonschema.Schema, parameter string) {
	var limit uint64
	isInteger := json.Unmarshal([]byte(parameter), &limit) == nil
	switch {
	case schema.Type == "array" && isInteger:
		schema.MaxItems = &limit
	case schema.Type == "string" && isInteger:
		schema.MaxLength = &limit
	default:
		schema.Maximum = json.Number(parameter)
	}
}

func setLength(schema *jsonschema.Schema, parameter string) {
	var length uint64
	if json.Unmarshal([]byte(parameter), &length) == nil {
		schema.MinLength, schema.MaxLength = &length, &length
	}
}

func setEnum(schema *jsonschema.Schema, values []string) {
	schema.Enum = nil
	for _, value := range values {
		schema.Enum = append(schema.Enum, value)
	}
}
