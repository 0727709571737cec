package httpprovider

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/provider"
)

const (
	// MaxDocumentBytes is the maximum size of a document. It equals
	// manifest.MaxDocumentBytes.
	MaxDocumentBytes = 1 << 20
	// HeaderRevision is the response header with the revision of a value.
	HeaderRevision = "X-Revision"
	// maxWatchTime is how long the configuration service may wait for a change
	// before it responds to a watch.
	maxWatchTime = 30 * time.Second
)

// ConfigSource reads and watches one key of the configuration service.
type ConfigSource struct {
	url    string
	client *http.Client
}

var _ provider.ConfigSource = (*ConfigSource)(nil)

// NewConfigSource returns a source that reads the key from the configuration service
// at baseURL.
func NewConfigSource(baseURL, key string) *ConfigSource {
	return &ConfigSource{
		url:    strings.TrimRight(baseURL, "/") + "/v1/values/" + url.PathEscape(key),
		client: newReadClient(),
	}
}

// Read returns the current document. It truncates a document that is larger than
// MaxDocumentBytes to MaxDocumentBytes+1 bytes, which manifest.Parse refuses.
func (c *ConfigSource) Read(ctx context.Context) (provider.Document, error) {
	doc, _, err := c.fetch(ctx, c.url)
	return doc, eris.Wrap(err, "read configuration")
}

// Watch waits until the revision differs from after, the service ends the wait, or
// the context ends. It returns false if the revision does not differ. The service
// waits at most maxWatchTime.
func (c *ConfigSource) Watch(ctx context.Context, after uint64) (provider.Document, bool, error) {
	watchURL := fmt.Sprintf("%s?after=%d&wait=%s", c.url, after, maxWatchTime)
	doc, changed, err := c.fetch(ctx, watchURL)
	return doc, changed && doc.Revision != after, eris.Wrap(err, "watch configuration")
}

func (c *ConfigSource) fetch(ctx context.Context, fetchURL string) (doc provider.Document, changed bool, err error) {
	resp, err := get(ctx, c.client, fetchURL)
	if err != nil {
		return doc, false, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return doc, false, nil
	default:
		return doc, false, eris.Errorf("status %d", resp.StatusCode)
	}
	revision, err := strconv.ParseUint(resp.Header.Get(HeaderRevision), 10, 64)
	if err != nil {
		return doc, false, eris.Wrap(err, HeaderRevision)
	}
	body, err := readBounded(resp.Body, MaxDocumentBytes)
	if err != nil {
		return doc, false, err
	}
	return provider.Document{Revision: revision, Body: body}, true, nil
}
