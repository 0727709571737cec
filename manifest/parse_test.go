package manifest

import "testing"

func TestParseRefusesUnknownField(t *testing.T) {
	if _, err := Parse([]byte("version: 1\nnothing: 2\n")); err == nil {
		t.Fatal("a document with an unknown field was accepted")
	}
}
