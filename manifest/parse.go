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

// MaxDocumentBytes is the size of the largest document that Parse accepts.
const MaxDocumentBytes = 1 << 20

// maxTokens bounds the number of YAML tokens and so the time and memory that
// parsing takes.
const maxTokens = 200_000

// maxDepth bounds the nesting of flow collections, which are those in brackets or
// braces, as in JSON. A manifest needs four levels.
const maxDepth = 16

// maxIndentColumns bounds the indentation and so the nesting of block collections,
// which maxDepth does not count.
const maxIndentColumns = 120

// Parse parses a manifest in YAML or JSON and validates all of it. It returns
// either a valid manifest or an *Error that lists the problems, and never a partial
// manifest.
func Parse(document []byte) (*Manifest, error) {
	r := newReport()
	body := parseDocument(r, document)
	if body == nil {
		return nil, r.err()
	}
	checkShape(r, body, reflect.TypeFor[Manifest]())
	if len(r.problems) == maxProblems {
		return nil, r.err() // the list is full: further problems would be omitted
	}
	var m Manifest
	if err := yaml.NodeToValue(body, &m, yaml.AllowDuplicateMapKey()); err != nil {
		if len(r.problems) == 0 {
			r.add("", "%s", syntaxMessage(err))
		}
		return nil, r.err()
	}
	checkFieldValues(r, &m)
	checkAcrossFields(r, &m)
	if err := r.err(); err != nil {
		return nil, err
	}
	m.Limits = m.Limits.WithDefaults()
	return &m, nil
}

// parseDocument returns the root node of a file with a single document. It
// returns nil after it has reported a problem that prevents further checks.
func parseDocument(r *report, document []byte) ast.Node {
	if len(document) > MaxDocumentBytes {
		r.add("", "must be at most %d bytes, not %d", MaxDocumentBytes, len(document))
		return nil
	}
	if !isTerminated(document) {
		r.add("", "must end with a line of three dots, the YAML document end marker: without it a truncated document could be valid")
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

// isTerminated reports whether a truncated copy of the document would be refused.
// A truncated JSON document lacks its closing brace, which is a syntax error. A
// YAML document without its last lines can be well formed, so the document end
// marker is required.
func isTerminated(document []byte) bool {
	document = bytes.TrimSpace(document)
	if bytes.HasPrefix(document, []byte("{")) {
		return true
	}
	return bytes.HasSuffix(document, []byte("\n..."))
}

// syntaxMessage returns an error of the YAML library as one line.
func syntaxMessage(err error) string {
	var syntax yaml.Error
	if errors.As(err, &syntax) && syntax.GetToken() != nil {
		return fmt.Sprintf("line %d: %s", syntax.GetToken().Position.Line, syntax.GetMessage())
	}
	return err.Error()
}

// checkTokens reports whether the tokens are safe to parse. It runs before the
// recursive parser and refuses documents with too many tokens or deep nesting,
// which could exhaust memory or the stack, and features of YAML that let a short
// document expand to a large one or have an unclear meaning.
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
		// Sequences can be nested within one line ("- - -"), where only the columns
		// increase and not the indentation. The parser needs many seconds for
		// 100,000 of them.
		tooIndented := depth == 0 && t.Type == token.SequenceEntryType && t.Position.Column > maxIndentColumns
		if tooDeep || tooIndented || t.Position.IndentNum > maxIndentColumns {
			r.add("", "line %d: nested too deeply", t.Position.Line)
			return false
		}
	}
	return true
}
