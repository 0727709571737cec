package manifest

import (
	"bytes"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// MaxDocumentBytes is the largest document that Parse reads.
const MaxDocumentBytes = 1 << 20

// Parse reads a manifest in YAML or JSON and checks it as a whole. The error
// names the path of each bad field.
func Parse(document []byte) (*Manifest, error) {
	if len(document) > MaxDocumentBytes {
		return nil, eris.Errorf("manifest: %d bytes, at most %d are allowed", len(document), MaxDocumentBytes)
	}
	var m Manifest
	decoder := yaml.NewDecoder(bytes.NewReader(document), yaml.Strict())
	if err := decoder.Decode(&m); err != nil {
		return nil, eris.Wrap(err, "manifest")
	}
	m.Limits = m.Limits.WithDefaults()
	return &m, nil
}
