// Package provider defines the interfaces to the platform on which sesameswitch
// runs: the configuration service, the list of VMs, backend servers and the weight
// store. Code that makes decisions, such as routing and admission, does not depend
// on an implementation of these interfaces.
//
// The configuration service and the list of VMs are read-only. Callers must expect
// that any call fails, blocks until its context ends, or returns outdated data.
package provider

import (
	"context"
	"time"
)

// Document is one version of a value in the configuration service.
type Document struct {
	// Revision is the number that the configuration service assigned to this
	// version of the value. It is unrelated to the version of a manifest.
	Revision uint64
	Body     []byte
}

// ConfigSource reads and watches the manifest.
type ConfigSource interface {
	// Read returns the current document.
	Read(ctx context.Context) (Document, error)
	// Watch blocks until the revision of the document differs from after, and returns
	// the document. If the service ends the wait earlier, changed is false.
	Watch(ctx context.Context, after uint64) (doc Document, changed bool, err error)
}

// Role is the kind of process that runs on a VM.
type Role string

// Roles of VMs.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// VMState is the state of a VM according to the platform's list, which shows
// changes with a delay.
type VMState string

// States of VMs.
const (
	VMLive VMState = "live"
	// VMLeaving means that the VM will be removed and that its process drains.
	VMLeaving VMState = "leaving"
)

// VM is one virtual machine of the deployment.
type VM struct {
	Name string `json:"name"`
	// Address is the IP address and port at which the process accepts connections
	// from peers.
	Address    string  `json:"address"`
	DataCentre string  `json:"data_centre"`
	Region     string  `json:"region,omitempty"`
	Role       Role    `json:"role"`
	State      VMState `json:"state"`
}

// VMLister lists the VMs that are live or leaving. The list is delayed: it may
// contain VMs that no longer exist and lack new ones.
type VMLister interface {
	List(ctx context.Context) ([]VM, error)
}

// LoadReport is the load of a model engine as the engine reports it, with a delay
// of AgeMillis.
type LoadReport struct {
	// Slots is the maximum number of requests in a batch.
	Slots int `json:"slots"`
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// Waiting is the number of requests in the engine's own queue.
	Waiting int `json:"waiting"`
	// Models are the models and adapters that the engine has loaded.
	Models []string `json:"models"`
	// AgeMillis is the age of the values when the engine sent them, in
	// milliseconds.
	AgeMillis int64 `json:"age_ms"`
}

// EngineCommand is an administrative command to a model engine, such as to
// load a model.
type EngineCommand struct {
	// Fence is the fencing token, which increases with each new issuer of
	// commands. An engine that checks it refuses commands with a lower fence than
	// the highest that it has received.
	Fence uint64 `json:"fence"`
	// Kind is load_model, unload_model, load_adapter or set_role.
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
}

// Request is one HTTP request to a backend server.
type Request struct {
	Method string
	// Path is the path and the query, relative to the base URL of the backend server.
	Path   string
	Header map[string]string
	Body   []byte
	// Retryable allows the transport to retry the request when the
	// connection fails before a response. It must be false for requests that
	// run at most once.
	Retryable bool
}

// Response is a backend server's response, with its body still unread.
type Response struct {
	Status int
	Header map[string]string
	// Length is the length of the body according to Content-Length, or -1 if
	// unknown.
	Length int64
	// Body is the body of the response. The caller must close it. Closing it
	// before its end cancels the generation at a model engine.
	Body ReadCloser
}

// ReadCloser is a body that can be read and closed.
type ReadCloser interface {
	Read(p []byte) (int, error)
	Close() error
}

// BackendServer sends requests to a model engine or a plain service. After an
// error of Do the request may have run, unless the error has a method
// NotSent() bool that returns true.
type BackendServer interface {
	Do(ctx context.Context, req Request) (*Response, error)
}

// Engine is a model engine: a backend server that also reports its load and
// accepts administrative commands.
type Engine interface {
	BackendServer
	Load(ctx context.Context) (LoadReport, error)
	SendCommand(ctx context.Context, cmd EngineCommand) error
}

// WeightStore is the store of model weights, which limits the rate of downloads.
type WeightStore interface {
	// Fetch starts a download of the model's weights. If the store is at its limit,
	// Fetch starts none and returns how long to wait before the next call.
	Fetch(ctx context.Context, model string) (wait time.Duration, err error)
}
