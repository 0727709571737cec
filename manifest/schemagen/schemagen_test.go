package schemagen

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestCommittedSchemaMatchesTypes compares manifest/schema.json with the types.
// Run it with -update after a change of the types.
func TestCommittedSchemaMatchesTypes(t *testing.T) {
	schema, err := Generate("../..")
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t, goldie.WithFixtureDir(".."), goldie.WithNameSuffix(".json")).Assert(t, "schema", schema)
}
