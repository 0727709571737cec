package httpprovider

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/provider"
)

// maxReportBytes bounds load reports and answers to orders.
const maxReportBytes = 64 << 10

// StaleFenceError reports that an engine refused an order because it has
// seen a higher fence.
type StaleFenceError struct {
	Fence uint64
}

// Error names the refused fence.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("order with fence %d refused as stale", e.Fence)
}

// Engine is a client of one model engine.
type Engine struct {
	*BackendServer
	client *http.Client
}

var _ provider.Engine = (*Engine)(nil)

// NewEngine returns a client of the model engine at baseURL.
func NewEngine(baseURL string) *Engine {
	return &Engine{BackendServer: NewBackendServer(baseURL), client: newReadClient()}
}

// Load returns the engine's load report.
func (e *Engine) Load(ctx context.Context) (provider.LoadReport, error) {
	var report provider.LoadReport
	err := getJSON(ctx, e.client, e.base+"/load", maxReportBytes, &report)
	return report, eris.Wrap(err, "load report")
}

// SendCommand sends an administrative command to the engine. A
// *StaleFenceError means that the engine refused the command's fence. After
// any other error except *NotSentError the engine may have executed the
// command.
func (e *Engine) SendCommand(ctx context.Context, order provider.EngineCommand) error {
	body, err := json.Marshal(order)
	if err != nil {
		return &NotSentError{Cause: err}
	}
	reply, err := e.Do(ctx, provider.Request{
		Method: http.MethodPost,
		Path:   "/orders",
		Header: map[string]string{"Content-Type": "application/json"},
		Body:   body,
	})
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	switch {
	case reply.Status == http.StatusConflict:
		return &StaleFenceError{Fence: order.Fence}
	case reply.Status >= http.StatusMultipleChoices:
		return eris.Errorf("order %s: status %d: %s", order.Kind, reply.Status, excerpt(reply.Body))
	}
	return nil
}

// excerpt returns the start of a body, for an error message.
func excerpt(body provider.ReadCloser) string {
	data := make([]byte, 256)
	n, _ := body.Read(data)
	return string(bytes.TrimSpace(data[:n]))
}
