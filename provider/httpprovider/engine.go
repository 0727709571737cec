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

// maxReportBytes is the maximum size of a load report.
const maxReportBytes = 64 << 10

// StaleFenceError reports that an engine refused a command because it has received
// one with a higher fence.
type StaleFenceError struct {
	Fence uint64
}

// Error returns a message with the refused fence.
func (e *StaleFenceError) Error() string {
	return fmt.Sprintf("engine command with stale fence %d refused", e.Fence)
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
	err := getJSON(ctx, e.client, e.baseURL+"/load", maxReportBytes, &report)
	return report, eris.Wrap(err, "load report")
}

// SendCommand sends an administrative command to the engine. A
// *StaleFenceError means that the engine refused the command's fence. After
// any other error except *NotSentError the engine may have executed the
// command.
func (e *Engine) SendCommand(ctx context.Context, cmd provider.EngineCommand) error {
	body, err := json.Marshal(cmd)
	if err != nil {
		return &NotSentError{Cause: err}
	}
	resp, err := e.Do(ctx, provider.Request{
		Method: http.MethodPost,
		Path:   "/orders",
		Header: map[string]string{"Content-Type": "application/json"},
		Body:   body,
	})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.Status == http.StatusConflict:
		return &StaleFenceError{Fence: cmd.Fence}
	case resp.Status >= http.StatusMultipleChoices:
		return eris.Errorf("engine command %s: status %d: %s", cmd.Kind, resp.Status, excerpt(resp.Body))
	}
	return nil
}

// excerpt returns the first bytes of a body for an error message.
func excerpt(body provider.ReadCloser) string {
	buf := make([]byte, 256)
	n, _ := body.Read(buf)
	return string(bytes.TrimSpace(buf[:n]))
}
