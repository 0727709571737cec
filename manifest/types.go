// Package manifest defines the configuration document of a deployment.
//
// Callers may assume that a *Manifest returned by Parse satisfies all rules of
// the format, and must not modify it. Parsing is deterministic: the same bytes
// give the same result in every process, so all processes accept or refuse the
// same versions.
package manifest

import "time"

// Repeatability states whether a request of a class may run more than once.
type Repeatability string

// Values of Repeatability.
const (
	// Idempotent requests may be retried and hedged.
	Idempotent Repeatability = "idempotent"
	// AtMostOnce requests run at most once and require an idempotency key.
	AtMostOnce Repeatability = "at_most_once"
)

// Tiers range from TopTier, the most urgent, to BottomTier.
const (
	TopTier    = 1
	BottomTier = 4
)

// Manifest is one version of the complete configuration of a deployment.
type Manifest struct {
	// Version increases with every change. Processes never return to a lower
	// version.
	Version uint64 `yaml:"version" json:"version" validate:"min=1"`
	// Deployment is the name of the deployment in logs and metrics.
	Deployment string `yaml:"deployment" json:"deployment" validate:"required,name"`
	// Classes are the service classes.
	Classes []Class `yaml:"classes" json:"classes" validate:"required,min=1,max=64,dive"`
	// Models are the language models that callers can request.
	Models []Model `yaml:"models" json:"models,omitempty" validate:"max=256,dive"`
	// Services are the plain services, available under /v1/services/.
	Services []Service `yaml:"services" json:"services,omitempty" validate:"max=256,dive"`
	// Accounts are the client accounts.
	Accounts []ClientAccount `yaml:"accounts" json:"accounts" validate:"required,min=1,max=20000,dive"`
	// Routes assign classes to requests. The first matching route applies.
	Routes []Route `yaml:"routes" json:"routes" validate:"required,min=1,max=1024,dive"`
	// Limits bound the resources that requests and processes use.
	Limits Limits `yaml:"limits" json:"limits,omitzero"`
}

// Class is a service class: the priority, latency targets and repeatability of
// its requests.
type Class struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Tier is the priority, from 1 (most urgent) to 4.
	Tier int `yaml:"tier" json:"tier" validate:"min=1,max=4"`
	// Repeatability is idempotent (requests may be retried and hedged) or
	// at_most_once (requests run at most once and require an idempotency key).
	Repeatability Repeatability `yaml:"repeatability" json:"repeatability" validate:"oneof=idempotent at_most_once"`
	// Targets are the latency targets of the class.
	Targets Targets `yaml:"targets" json:"targets"`
	// Floor is the class's minimum share of the requests that an agent starts, from
	// 0 to 0.25. It applies while the class has queued requests.
	Floor float64 `yaml:"floor" json:"floor,omitempty" validate:"min=0,max=0.25"`
}

// Targets are the latency targets of a class. Zero means no target. A class has
// a target for the first token, for the complete response, or for both.
// BetweenTokens requires FirstToken.
type Targets struct {
	// FirstToken is the target for the time to the first token.
	FirstToken time.Duration `yaml:"first_token" json:"first_token,omitempty" validate:"min=0,max=24h"`
	// BetweenTokens is the target for the inter-token latency.
	BetweenTokens time.Duration `yaml:"between_tokens" json:"between_tokens,omitempty" validate:"min=0,max=24h"`
	// EndToEnd, named whole in a document, is the target for the complete
	// response.
	EndToEnd time.Duration `yaml:"whole" json:"whole,omitempty" validate:"min=0,max=24h"`
}

// Model is a language model that backend servers may have loaded.
type Model struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// MaxTokens is the maximum length of a response, in tokens.
	MaxTokens int `yaml:"max_tokens" json:"max_tokens" validate:"min=1,max=1000000"`
}

// Service is a plain service: an application that is not a model engine.
type Service struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
}

// ClientAccount is a customer with its API keys and limits.
type ClientAccount struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// KeyHashes are the SHA-256 hashes of the account's API keys (bearer tokens),
	// in lower-case hexadecimal.
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes" validate:"required,min=1,max=16,dive,len=64,hexadecimal,lowercase"`
	// Weight is the account's share relative to other accounts in the same class.
	// 0 means 1.
	Weight int `yaml:"weight" json:"weight,omitempty" validate:"min=0,max=1000"`
	// RequestsPerSecond is the account's rate limit over all entries. 0 means no
	// limit.
	RequestsPerSecond float64 `yaml:"requests_per_second" json:"requests_per_second,omitempty" validate:"min=0,max=1000000"`
	// Burst is the number of requests that may arrive at once. 0 means the number
	// allowed in one second.
	Burst int `yaml:"burst" json:"burst,omitempty" validate:"min=0,max=1000000"`
	// Classes are the classes that the account may use. Empty means all.
	Classes []string `yaml:"classes" json:"classes,omitempty" validate:"max=64"`
}

// Route assigns a class to the requests that match it. Either Model or Service
// is set. The first of Classes is the default. A request may select another of
// them in the Sesame-Class header.
type Route struct {
	// Model is the model of a model route.
	Model string `yaml:"model" json:"model,omitempty"`
	// Service is the plain service of a service route.
	Service string `yaml:"service" json:"service,omitempty"`
	// Methods are the HTTP methods that a service route matches. Empty matches
	// all.
	Methods []string `yaml:"methods" json:"methods,omitempty" validate:"dive,oneof=GET HEAD POST PUT PATCH DELETE"`
	// PathPrefix is the prefix of the path below the service's name that a service
	// route matches. Empty matches all paths.
	PathPrefix string   `yaml:"path_prefix" json:"path_prefix,omitempty" validate:"max=1024"`
	Classes    []string `yaml:"classes" json:"classes" validate:"required,min=1,max=64"`
}

// Limits bound the resources that requests and processes use. Zero means the
// default.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes int64 `yaml:"max_body_bytes" json:"max_body_bytes,omitempty" validate:"min=0,max=67108864"`
	// MaxJSONDepth is the maximum nesting of a JSON request body.
	MaxJSONDepth int `yaml:"max_json_depth" json:"max_json_depth,omitempty" validate:"min=0,max=1000"`
	// QueuePerAgent is the maximum number of queued requests of an agent.
	QueuePerAgent int `yaml:"queue_per_agent" json:"queue_per_agent,omitempty" validate:"min=0,max=100000"`
	// KeysPerAgent is the maximum number of idempotency keys that an agent stores.
	KeysPerAgent int `yaml:"keys_per_agent" json:"keys_per_agent,omitempty" validate:"min=0,max=10000000"`
	// KeyValidity is how long an idempotency key is valid after it was created.
	KeyValidity time.Duration `yaml:"key_validity" json:"key_validity,omitempty" validate:"min=0,max=24h"`
	// RetryBudget is the number of retries that are allowed per request, on average
	// over recent requests.
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

// WithDefaults returns the limits with defaults in place of zeros.
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
