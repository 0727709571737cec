package httpprovider

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
)

// newReadClient returns a client for calls that only read. It follows no
// redirect.
func newReadClient() *http.Client {
	return &http.Client{
		Transport: newTransport(true),
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// get sends a GET; the caller closes the body.
func get(ctx context.Context, client *http.Client, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return client.Do(request)
}

// readBounded reads at most limit+1 bytes, so that a caller can tell a body
// over the limit from one at the limit.
func readBounded(body io.Reader, limit int64) ([]byte, error) {
	return io.ReadAll(io.LimitReader(body, limit+1))
}

// getJSON decodes the JSON answer of a GET, of at most limit bytes.
func getJSON(ctx context.Context, client *http.Client, url string, limit int64, into any) error {
	response, err := get(ctx, client, url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("status %d", response.StatusCode)
	}
	data, err := readBounded(response.Body, limit)
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return eris.Errorf("answer over %d bytes", limit)
	}
	return json.Unmarshal(data, into)
}
