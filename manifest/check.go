package manifest

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/sesameswitch/sesameswitch/validation"
)

// MaxFloorSum bounds the sum of the classes' floors, so that at least half of
// an agent's starts follow the tiers.
const MaxFloorSum = 0.5

// floorTolerance absorbs the rounding of a sum of decimal fractions.
const floorTolerance = 1e-9

// values checks each field against its validate tag. It is safe for
// concurrent use.
var values = newValues()

func newValues() *validator.Validate {
	v := validation.New()
	v.RegisterTagNameFunc(func(field reflect.StructField) string {
		return field.Tag.Get("yaml")
	})
	return v
}

// checkValues notes every field whose value is out of range.
func checkValues(r *report, m *Manifest) {
	var failures validator.ValidationErrors
	if !errors.As(values.Struct(m), &failures) {
		return
	}
	for _, failure := range failures {
		_, path, _ := strings.Cut(failure.Namespace(), ".")
		r.add(path, "%s", validation.Describe(failure))
	}
}

// checkReferences notes what only several fields together show: repeated
// names, names that nothing has, and rules between fields.
func checkReferences(r *report, m *Manifest) {
	classes := checkNames(r, "classes", m.Classes, func(c *Class) string { return c.Name })
	models := checkNames(r, "models", m.Models, func(m *Model) string { return m.Name })
	services := checkNames(r, "services", m.Services, func(s *Service) string { return s.Name })
	checkNames(r, "accounts", m.Accounts, func(a *ClientAccount) string { return a.Name })
	checkTargets(r, m)
	checkFloors(r, m)
	checkKeyHashes(r, m)
	for i := range m.Accounts {
		checkClassNames(r, fmt.Sprintf("accounts[%d].classes", i), m.Accounts[i].Classes, classes)
	}
	checkRoutes(r, m, classes, models, services)
}

// checkNames notes names that occur twice and returns the index of each.
func checkNames[T any](r *report, path string, items []T, name func(*T) string) map[string]int {
	index := make(map[string]int, len(items))
	for i := range items {
		n := name(&items[i])
		if first, twice := index[n]; twice {
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

func checkKeyHashes(r *report, m *Manifest) {
	owners := make(map[string]int, len(m.Accounts))
	for i, account := range m.Accounts {
		for j, hash := range account.KeyHashes {
			if owner, twice := owners[hash]; twice {
				r.add(fmt.Sprintf("accounts[%d].key_hashes[%d]", i, j), "is already a key of accounts[%d]", owner)
				continue
			}
			owners[hash] = i
		}
	}
}

// checkClassNames notes names of classes that are unknown or repeated.
func checkClassNames(r *report, path string, names []string, classes map[string]int) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		inner := fmt.Sprintf("%s[%d]", path, i)
		if _, known := classes[name]; !known {
			r.add(inner, "%q is not a class", name)
		}
		if seen[name] {
			r.add(inner, "%q occurs twice", name)
		}
		seen[name] = true
	}
}
