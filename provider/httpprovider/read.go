package httpprovider

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/internal/httphead"
)

// newReadClient returns a client for read-only requests, which it may retry. It
// follows no redirect.
func newReadClient() *http.Client {
	return &http.Client{
		Transport: newTransport(true),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// get sends a GET request. The caller must close the body of the response.
func get(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(httphead.Trace(ctx), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(req)
}

// readBounded reads at most limit+1 bytes, so that the caller can distinguish a
// body above the limit from one at the limit.
func readBounded(body io.Reader, limit int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(body, limit+1))
}

// getJSON decodes the JSON response of a GET request. It fails if the response is
// larger than limit bytes.
func getJSON(ctx context.Context, client *http.Client, url string, limit int64, target any) error {
	resp, err := get(ctx, client, url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("status %d", resp.StatusCode)
	}
	data, err := readBounded(resp.Body, limit)
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return eris.Errorf("response is larger than %d bytes", limit)
	}
	return json.Unmarshal(data, target)
}
