package manifest

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/sesameswitch/sesameswitch/validation"
)

// MaxFloorSum bounds the sum of the floors of all classes, so that at least half of
// the requests that an agent starts are selected by tier.
const MaxFloorSum = 0.5

// floorTolerance allows for rounding errors when decimal fractions are added.
const floorTolerance = 1e-9

// fieldValidator checks fields against their validate tags. It is safe for
// concurrent use.
var fieldValidator = newFieldValidator()

func newFieldValidator() *validator.Validate {
	v := validation.New()
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		return field.Tag.Get("yaml")
	})
	return v
}

// checkFieldValues reports every field whose value violates its validate tag.
func checkFieldValues(r *report, m *Manifest) {
	var failures validator.ValidationErrors
	if !errors.As(fieldValidator.Struct(m), &failures) {
		return
	}
	for _, failure := range failures {
		_, path, _ := strings.Cut(failure.Namespace(), ".")
		r.add(path, "%s", validation.Describe(failure))
	}
}

// checkAcrossFields reports problems that involve several fields, such as duplicate
// names, references to names that are not defined, and latency targets that require
// another one.
func checkAcrossFields(r *report, m *Manifest) {
	classIndex := checkNames(r, "classes", m.Classes, func(c *Class) string { return c.Name })
	modelIndex := checkNames(r, "models", m.Models, func(m *Model) string { return m.Name })
	serviceIndex := checkNames(r, "services", m.Services, func(s *Service) string { return s.Name })
	checkNames(r, "accounts", m.Accounts, func(a *ClientAccount) string { return a.Name })
	checkTargets(r, m)
	checkFloors(r, m)
	checkKeyHashes(r, m)
	for i := range m.Accounts {
		checkClassNames(r, fmt.Sprintf("accounts[%d].classes", i), m.Accounts[i].Classes, classIndex)
	}
	checkRoutes(r, m, classIndex, modelIndex, serviceIndex)
}

// checkNames reports duplicate names and returns the index of the first item
// with each name.
func checkNames[T any](r *report, path string, items []T, name func(*T) string) map[string]int {
	index := make(map[string]int, len(items))
	for i := range items {
		n := name(&items[i])
		if first, duplicate := index[n]; duplicate {
			r.add(fmt.Sprintf("%s[%d].name", path, i), "%q is already the name of %s[%d]", n, path, first)
			continue
		}
		index[n] = i
	}
	return index
}

func checkTargets(r *report, m *Manifest) {
	for i, c := range m.Classes {
		path := fmt.Sprintf("classes[%d].targets", i)
		if c.Targets.FirstToken == 0 && c.Targets.EndToEnd == 0 {
			r.add(path, "must set first_token or whole")
		}
		if c.Targets.BetweenTokens != 0 && c.Targets.FirstToken == 0 {
			r.add(path+".between_tokens", "needs first_token")
		}
	}
}

func checkFloors(r *report, m *Manifest) {
	sum := 0.0
	for _, c := range m.Classes {
		sum += c.Floor
	}
	if sum > MaxFloorSum+floorTolerance {
		r.add("classes", "the floors add up to %.3g, at most %g is allowed", sum, MaxFloorSum)
	}
}

// checkKeyHashes reports API keys that occur more than once, in one account or in
// several.
func checkKeyHashes(r *report, m *Manifest) {
	owners := make(map[string]int, len(m.Accounts))
	for i, account := range m.Accounts {
		for j, hash := range account.KeyHashes {
			if owner, duplicate := owners[hash]; duplicate {
				r.add(fmt.Sprintf("accounts[%d].key_hashes[%d]", i, j), "is already a key of accounts[%d]", owner)
				continue
			}
			owners[hash] = i
		}
	}
}

// checkClassNames reports names that are not classes, and duplicates.
func checkClassNames(r *report, path string, names []string, classIndex map[string]int) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		inner := fmt.Sprintf("%s[%d]", path, i)
		if _, known := classIndex[name]; !known {
			r.add(inner, "%q is not a class", name)
		}
		if seen[name] {
			r.add(inner, "%q occurs twice", name)
		}
		seen[name] = true
	}
}
