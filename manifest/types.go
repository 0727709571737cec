// Package manifest defines the configuration document of a deployment.
//
// A caller may rely on a *Manifest returned by Parse being valid as a whole
// and unchanged from then on. Parsing is pure: the same bytes give the same
// result in every process, so all processes accept or refuse a version alike.
package manifest

import "time"

// Repeatability says whether a request of a class may run more than once.
type Repeatability string

// The two kinds of repeatability.
const (
	// Idempotent requests may be retried and hedged.
	Idempotent Repeatability = "idempotent"
	// AtMostOnce requests run at most once and need an idempotency key.
	AtMostOnce Repeatability = "at_most_once"
)

// Tiers run from TopTier, the most urgent, to BottomTier.
const (
	TopTier    = 1
	BottomTier = 4
)

// Manifest is one version of the whole configuration.
type Manifest struct {
	// Version rises with every change; processes never go back.
	Version uint64 `yaml:"version" json:"version" validate:"min=1"`
	// Deployment names the deployment, for logs and metrics.
	Deployment string `yaml:"deployment" json:"deployment" validate:"required,name"`
	// Classes are the service classes.
	Classes []Class `yaml:"classes" json:"classes" validate:"required,min=1,max=64,dive"`
	// Models are the language models that callers can name.
	Models []Model `yaml:"models" json:"models,omitempty" validate:"max=256,dive"`
	// Services are the plain services under /v1/services/.
	Services []Service `yaml:"services" json:"services,omitempty" validate:"max=256,dive"`
	// Accounts are the client accounts.
	Accounts []ClientAccount `yaml:"accounts" json:"accounts" validate:"required,min=1,max=20000,dive"`
	// Routes give requests their class; the first match decides.
	Routes []Route `yaml:"routes" json:"routes" validate:"required,min=1,max=1024,dive"`
	// Limits bound what one request and one process may hold.
	Limits Limits `yaml:"limits" json:"limits,omitzero"`
}

// Class is a service class: urgency, targets and repeatability.
type Class struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Tier is the priority, from 1 (most urgent) to 4.
	Tier int `yaml:"tier" json:"tier" validate:"min=1,max=4"`
	// Repeatability is idempotent or at_most_once.
	Repeatability Repeatability `yaml:"repeatability" json:"repeatability" validate:"oneof=idempotent at_most_once"`
	// Targets are the latency targets of the class.
	Targets Targets `yaml:"targets" json:"targets"`
	// Floor is the share of an agent's starts that the class gets at least
	// while it has requests queued, from 0 to 0.25.
	Floor float64 `yaml:"floor" json:"floor,omitempty" validate:"min=0,max=0.25"`
}

// Targets are latency targets. A zero target is not set. A class has a
// target for the whole call or for the first token.
type Targets struct {
	FirstToken    time.Duration `yaml:"first_token" json:"first_token,omitempty" validate:"min=0,max=24h"`
	BetweenTokens time.Duration `yaml:"between_tokens" json:"between_tokens,omitempty" validate:"min=0,max=24h"`
	EndToEnd      time.Duration `yaml:"whole" json:"whole,omitempty" validate:"min=0,max=24h"`
}

// Model is a language model that backend servers may have loaded.
type Model struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// MaxTokens bounds the length of one answer, in tokens.
	MaxTokens int `yaml:"max_tokens" json:"max_tokens" validate:"min=1,max=1000000"`
}

// Service is a plain service beside the model engines.
type Service struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
}

// ClientAccount is a customer with its keys and limits.
type ClientAccount struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// KeyHashes are the SHA-256 sums of the account's bearer keys, in hex.
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes" validate:"required,min=1,max=16,dive,len=64,hexadecimal,lowercase"`
	// Weight is the account's share relative to others in the same class.
	Weight int `yaml:"weight" json:"weight,omitempty" validate:"min=0,max=1000"`
	// RequestsPerSecond limits the account over all entries; 0 is no limit.
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second,omitempty" validate:"min=0,max=1000000"`
	// Burst is how many requests may come at once; 0 means one second's worth.
	Burst int `yaml:"burst" json:"burst,omitempty" validate:"min=0,max=1000000"`
	// Classes limits the classes the account may use; empty means all.
	Classes []string `yaml:"classes" json:"classes,omitempty" validate:"max=64"`
}

// Route gives the requests that match it a class. Either Model or Service
// is set. The first of Classes is the default; a request may name another
// of them in the Sesame-Class header.
type Route struct {
	Model   string `yaml:"model" json:"model,omitempty"`
	Service string `yaml:"service" json:"service,omitempty"`
	// Methods are HTTP methods of a service route; empty matches all.
	Methods []string `yaml:"methods" json:"methods,omitempty" validate:"dive,oneof=GET HEAD POST PUT PATCH DELETE"`
	// PathPrefix matches the path below the service; empty matches all.
	PathPrefix string   `yaml:"path_prefix" json:"path_prefix,omitempty" validate:"max=1024"`
	Classes    []string `yaml:"classes" json:"classes" validate:"required,min=1,max=64"`
}

// Limits bound what requests and processes may hold. Zero means the default.
type Limits struct {
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64 `yaml:"max_body_bytes" json:"max_body_bytes,omitempty" validate:"min=0,max=67108864"`
	// MaxJSONDepth bounds the nesting of a JSON request body.
	MaxJSONDepth int `yaml:"max_json_depth" json:"max_json_depth,omitempty" validate:"min=0,max=1000"`
	// QueuePerAgent bounds the queued requests of one agent.
	QueuePerAgent int `yaml:"queue_per_agent" json:"queue_per_agent,omitempty" validate:"min=0,max=100000"`
	// KeysPerAgent bounds the at-most-once table of one agent.
	KeysPerAgent int `yaml:"keys_per_agent" json:"keys_per_agent,omitempty" validate:"min=0,max=10000000"`
	// KeyValidity is how long an idempotency key may be used after minting.
	KeyValidity time.Duration `yaml:"key_validity" json:"key_validity,omitempty" validate:"min=0,max=24h"`
	// RetryBudget is the share of recent requests that may be retries.
	RetryBudget float64 `yaml:"retry_budget" json:"retry_budget,omitempty" validate:"min=0,max=1"`
}

// Defaults of Limits.
const (
	DefaultMaxBodyBytes  = 1 << 20
	DefaultMaxJSONDepth  = 64
	DefaultQueuePerAgent = 256
	DefaultKeysPerAgent  = 65536
	DefaultKeyValidity   = 10 * time.Minute
	DefaultRetryBudget   = 0.1
)

// WithDefaults returns the limits with each zero replaced by its default.
func (l Limits) WithDefaults() Limits {
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if l.MaxJSONDepth == 0 {
		l.MaxJSONDepth = DefaultMaxJSONDepth
	}
	if l.QueuePerAgent == 0 {
		l.QueuePerAgent = DefaultQueuePerAgent
	}
	if l.KeysPerAgent == 0 {
		l.KeysPerAgent = DefaultKeysPerAgent
	}
	if l.KeyValidity == 0 {
		l.KeyValidity = DefaultKeyValidity
	}
	if l.RetryBudget == 0 {
		l.RetryBudget = DefaultRetryBudget
	}
	return l
}
