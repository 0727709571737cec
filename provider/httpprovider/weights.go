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

// HeaderRetryAfterMillis carries the weight store's wait, in milliseconds.
const HeaderRetryAfterMillis = "Retry-After-Ms"

// WeightStore is a client of the weight store.
type WeightStore struct {
	base   string
	client *http.Client
}

var _ provider.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns a client of the weight store at baseURL.
func NewWeightStore(baseURL string) *WeightStore {
	return &WeightStore{base: strings.TrimRight(baseURL, "/"), client: newReadClient()}
}

// Fetch asks for the model's weights. A wait above zero says that the store
// is at its limit and the download was not started.
func (w *WeightStore) Fetch(ctx context.Context, model string) (time.Duration, error) {
	response, err := get(ctx, w.client, w.base+"/v1/weights/"+url.PathEscape(model))
	if err != nil {
		return 0, eris.Wrap(err, "weight store")
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return 0, nil
	case http.StatusTooManyRequests:
		return retryAfter(response)
	}
	return 0, eris.Errorf("weight store: status %d", response.StatusCode)
}

func retryAfter(response *http.Response) (time.Duration, error) {
	millis, err := strconv.ParseInt(response.Header.Get(HeaderRetryAfterMillis), 10, 64)
	if err != nil || millis <= 0 {
		return 0, eris.New("weight store: limit without a time to come back")
	}
	return time.Duration(millis) * time.Millisecond, nil
}
