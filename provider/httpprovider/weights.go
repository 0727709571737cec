package httpprovider

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/provider"
)

// HeaderRetryAfterMillis is the response header with the retry delay in
// milliseconds, if the store is at its limit.
const HeaderRetryAfterMillis = "Retry-After-Ms"

// WeightStore is a client of the weight store.
type WeightStore struct {
	baseURL string
	client  *http.Client
}

var _ provider.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns a client of the weight store at baseURL.
func NewWeightStore(baseURL string) *WeightStore {
	return &WeightStore{baseURL: strings.TrimRight(baseURL, "/"), client: newReadClient()}
}

// Fetch starts a download of the model's weights. If the store is at its limit, no
// download starts and Fetch returns how long to wait before the next call.
func (w *WeightStore) Fetch(ctx context.Context, model string) (time.Duration, error) {
	resp, err := get(ctx, w.client, w.baseURL+"/v1/weights/"+url.PathEscape(model))
	if err != nil {
		return 0, eris.Wrap(err, "weight store")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		return 0, nil
	case http.StatusTooManyRequests:
		return retryAfter(resp)
	}
	return 0, eris.Errorf("weight store: status %d", resp.StatusCode)
}

func retryAfter(resp *http.Response) (time.Duration, error) {
	millis, err := strconv.ParseInt(resp.Header.Get(HeaderRetryAfterMillis), 10, 64)
	if err != nil || millis <= 0 {
		return 0, eris.New("weight store: status 429 without a valid retry delay")
	}
	return time.Duration(millis) * time.Millisecond, nil
}
