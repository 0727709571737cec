package manifest

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// MaxDocumentBytes is the largest document that Parse reads.
const MaxDocumentBytes = 1 << 20

// maxTokens bounds the work and the memory that reading a document takes.
const maxTokens = 200_000

// maxDepth bounds the nesting of a document; a manifest needs five levels.
const maxDepth = 16

// maxIndentColumns bounds the indentation of a block, which nests too.
const maxIndentColumns = 120

// Parse reads a manifest in YAML or JSON and checks it as a whole. It never
// returns a part of a document. The error is an *Error with all problems.
func Parse(document []byte) (*Manifest, error) {
	r := newReport()
	body := parseDocument(r, document)
	if body == nil {
		return nil, r.err()
	}
	checkShape(r, body, reflect.TypeFor[Manifest]())
	if len(r.problems) == maxProblems {
		return nil, r.err()
	}
	var m Manifest
	if err := yaml.NodeToValue(body, &m, yaml.AllowDuplicateMapKey()); err != nil {
		if len(r.problems) == 0 {
			r.add("", "%s", syntaxMessage(err))
		}
		return nil, r.err()
	}
	checkValues(r, &m)
	checkReferences(r, &m)
	if err := r.err(); err != nil {
		return nil, err
	}
	m.Limits = m.Limits.WithDefaults()
	return &m, nil
}

// parseDocument returns the one mapping that the document consists of, or nil
// after noting why there is none.
func parseDocument(r *report, document []byte) ast.Node {
	if len(document) > MaxDocumentBytes {
		r.add("", "must be at most %d bytes, not %d", MaxDocumentBytes, len(document))
		return nil
	}
	if !ended(document) {
		r.add("", "must end with a line of three dots, as YAML documents do: without it a document that was cut short could pass")
	}
	tokens := lexer.Tokenize(string(document))
	if !checkTokens(r, tokens) {
		return nil
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		r.add("", "cannot be read: %s", syntaxMessage(err))
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.add("", "must be one document, not %d", len(file.Docs))
		return nil
	}
	return file.Docs[0].Body
}

// ended reports whether a document has its end. JSON shows it by its last
// brace; a YAML document that lost its last lines can still be well formed.
func ended(document []byte) bool {
	document = bytes.TrimSpace(document)
	if bytes.HasPrefix(document, []byte("{")) {
		return true
	}
	return bytes.HasSuffix(document, []byte("\n..."))
}

// syntaxMessage words an error of the YAML library in one line.
func syntaxMessage(err error) string {
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		return fmt.Sprintf("line %d: %s", syntax.GetToken().Position.Line, syntax.GetMessage())
	}
	return err.Error()
}

// checkTokens refuses, before anything recursive sees the document, what a
// manifest never needs: deep nesting, and the parts of YAML that make a short
// document stand for a long or an unclear one.
func checkTokens(r *report, tokens token.Tokens) bool {
	if len(tokens) > maxTokens {
		r.add("", "must have at most %d tokens, not %d", maxTokens, len(tokens))
		return false
	}
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		case token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType, token.MappingKeyType, token.DirectiveType:
			r.add("", "line %d: anchors, aliases, merge keys, tags, complex keys and directives are not allowed", t.Position.Line)
			return false
		}
		tooDeep := depth > maxDepth
		tooFarIn := depth == 0 && t.Type == token.SequenceEntryType && t.Position.Column > maxIndentColumns
		if tooDeep || tooFarIn || t.Position.IndentNum > maxIndentColumns {
			r.add("", "line %d: nested too deeply", t.Position.Line)
			return false
		}
	}
	return true
}
