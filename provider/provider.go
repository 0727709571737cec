// Package provider defines what sesameswitch needs from the platform it runs
// on, as small interfaces. Decisions never depend on an implementation.
//
// All of them can only be read. Any call may fail, hang until its context
// ends, or answer with something old.
package provider

import (
	"context"
	"time"
)

// Document is one version of a value in the configuration service.
type Document struct {
	// Revision is the configuration service's own number for the value.
	Revision uint64
	Body     []byte
}

// ConfigSource reads and watches the manifest.
type ConfigSource interface {
	// Read returns the present document.
	Read(ctx context.Context) (Document, error)
	// Watch returns once the document's revision differs from after, or with
	// changed false when the service ends the wait.
	Watch(ctx context.Context, after uint64) (doc Document, changed bool, err error)
}

// Role says which process of the system runs on a VM.
type Role string

// Roles of VMs.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// VMState is the platform's lagging view of a VM.
type VMState string

// States of VMs.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one machine of the deployment.
type VM struct {
	Name string `json:"name"`
	// Address is the IP address and port of the process's peer listener.
	Address    string  `json:"address"`
	DataCentre string  `json:"data_centre"`
	Region     string  `json:"region,omitempty"`
	Role       Role    `json:"role"`
	State      VMState `json:"state"`
}

// VMLister lists the VMs that are live or leaving. The list lags behind the
// actual state of the VMs.
type VMLister interface {
	List(ctx context.Context) ([]VM, error)
}

// LoadReport is what a model engine says of its load. It lags.
type LoadReport struct {
	Slots   int      `json:"slots"`
	Running int      `json:"running"`
	Waiting int      `json:"waiting"`
	Models  []string `json:"models"`
	// Age is how old the figures were when the engine sent them, in
	// milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// EngineCommand is an administrative command to a model engine, such as to
// load a model.
type EngineCommand struct {
	// Fence rises with each new issuer; an engine that checks it refuses an
	// order with a lower number than it has seen.
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Request is one HTTP request to a backend server.
type Request struct {
	Method string
	Path   string
	Header map[string]string
	Body   []byte
	// Retryable allows the transport to send the request again when the
	// connection fails before a response. It must be false for requests that
	// run at most once.
	Retryable bool
}

// Response is a backend server's response, with its body still unread.
type Response struct {
	Status int
	Header map[string]string
	// Length is the announced length of the body, or -1.
	Length int64
	// Body yields the answer; the caller closes it. Closing before the end
	// cancels the work at a model engine.
	Body ReadCloser
}

// ReadCloser is a body that can be read and closed.
type ReadCloser interface {
	Read(p []byte) (int, error)
	Close() error
}

// BackendServer carries calls to a model engine or a plain service. An error
// of Do means that the call may have run, unless NotSent reports otherwise.
type BackendServer interface {
	Do(ctx context.Context, call Request) (*Response, error)
}

// Engine is a model engine: a backend server that also reports its load and
// takes orders.
type Engine interface {
	BackendServer
	Load(ctx context.Context) (LoadReport, error)
	SendCommand(ctx context.Context, order EngineCommand) error
}

// WeightStore is the rate-limited store of model weights.
type WeightStore interface {
	// Fetch starts a download of the model's weights. It returns how long to
	// wait when the store is at its limit.
	Fetch(ctx context.Context, model string) (wait time.Duration, err error)
}
