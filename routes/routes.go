// Package routes holds the active configuration in the form that a gateway
// uses: which service serves which requests, which requests may be retried, and
// which API keys are valid. It does no I/O; a Table is immutable once built.
//
// Callers may assume that Lookup chooses the longest matching path prefix among
// the routes of the host, and that a Table is complete: Build refuses a version
// that has any invalid route.
package routes

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Kind determines, together with Route.Resumable, whether requests of a route may
// run more than once.
type Kind string

// Kinds of routes.
const (
	// Safe requests are idempotent and may be retried.
	Safe Kind = "safe"
	// Unsafe requests run at most once. A retry by the caller is a new request.
	Unsafe Kind = "unsafe"
	// Stream responses are event streams. Their requests run at most once
	// unless the route is Resumable.
	Stream Kind = "stream"
)

// Target is one service to which a route sends requests.
type Target struct {
	Service string
	// Weight determines the share of requests relative to the other targets.
	Weight int
}

// Route configures how requests below a path prefix are served.
type Route struct {
	Name string
	// Host must be in lower case and without a port to match requests.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable reports whether an interrupted stream can be continued by
	// another attempt after the last event received.
	Resumable bool
	// Timeout limits the time to the end of the final response.
	Timeout time.Duration
	// LatencyTarget is the targeted time to the response, or to the first event
	// of a stream.
	LatencyTarget time.Duration
	// MaxEventGap is the target for the longest gap between two events of a
	// stream; zero means no target.
	MaxEventGap time.Duration
	// MaxRuns limits how many backend servers may have run the same request.
	MaxRuns int
	// Priority is 0 for the most urgent requests.
	Priority int
	// Public routes require no API key.
	Public  bool
	Targets []Target
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service is a service and the limits of its backend servers.
type Service struct {
	Name string
	// MaxConnections limits the connections of all gateways together to one
	// backend server; zero means no limit.
	MaxConnections int
	// ColdTime is how long a backend server is cold after it starts. While it is cold, it
	// takes ColdRate requests per second from all gateways together, and may crash well above
	// that. Zero means that servers are not limited while they are cold.
	ColdTime time.Duration
	ColdRate float64
	// Engine is set for services that generate tokens.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// KVCacheTokens is the capacity of an engine's KV cache in tokens, shared
	// by running requests and cached prefixes.
	KVCacheTokens int
	// KVBytesPerToken is the size of one token in the KV cache, in bytes.
	KVBytesPerToken float64
	// TransferBytesPerMs is the rate at which one engine copies KV cache from
	// another, in bytes per millisecond.
	TransferBytesPerMs float64
}

// ClientAccount is the holder of API keys.
type ClientAccount struct {
	Name string
	// Priority takes precedence over the priority of the route; 0 is the most
	// urgent.
	Priority int
}

// APIKeys are the API keys of a configuration.
type APIKeys struct {
	// Required reports whether requests of routes that are not public need a key: the
	// configuration defines client accounts, with or without keys.
	Required bool
	// Accounts holds the account of each key.
	Accounts map[string]*ClientAccount
}

// Limits apply to the requests and connections of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Limits   Limits
	services map[string]*Service
	// byHost holds the routes of each host by path prefix.
	byHost map[string]map[string]*Route
	keys   APIKeys
	byName map[string]*Route
	// retiredKeys and retiredRoutes hold the API keys and the routes (host and
	// prefix concatenated) of earlier versions that this version lacks.
	retiredKeys   map[string]bool
	retiredRoutes map[string]bool
}

// maxRetired limits the retired keys, and separately the retired routes, that a
// Table remembers.
const maxRetired = 4096

// WithRetiredFrom returns a copy of the table that also remembers the keys and
// routes that the old table had or remembered and this one lacks. An unknown key
// or route may belong to a newer version that the gateway has not read yet; a
// retired one was removed, so the gateway can refuse its requests immediately.
func (t *Table) WithRetiredFrom(old *Table) *Table {
	next := *t
	next.retiredKeys = make(map[string]bool)
	next.retiredRoutes = make(map[string]bool)
	if old == nil {
		return &next
	}
	retire(next.retiredKeys, old.retiredKeys, old.keys.Accounts, func(key string) bool { return t.keys.Accounts[key] != nil })
	present := make(map[string]bool, len(t.byName))
	for _, r := range t.byName {
		present[r.Host+r.Prefix] = true
	}
	previousRoutes := make(map[string]bool, len(old.byName))
	for _, r := range old.byName {
		previousRoutes[r.Host+r.Prefix] = true
	}
	retire(next.retiredRoutes, old.retiredRoutes, previousRoutes, func(route string) bool { return present[route] })
	return &next
}

// retire adds to the set the keys or routes that were retired earlier or are in
// the previous table, unless they are present in the new one.
func retire[V any](set, earlier map[string]bool, previous map[string]V, present func(string) bool) {
	for name := range earlier {
		if !present(name) && len(set) < maxRetired {
			set[name] = true
		}
	}
	for name := range previous {
		if !present(name) && len(set) < maxRetired {
			set[name] = true
		}
	}
}

// RetiredKey reports whether an earlier version had the key and this one lacks
// it.
func (t *Table) RetiredKey(key string) bool { return t.retiredKeys[key] }

// RetiredRoute reports whether an earlier version had a route that matches the
// path and that this version lacks.
func (t *Table) RetiredRoute(host, path string) bool {
	host = strings.ToLower(host)
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return false
		}
		if t.retiredRoutes[host+path[:slash+1]] {
			return true
		}
		end = slash
	}
	return false
}

// Build validates and indexes a configuration. If two routes have the same host
// and prefix, the later one applies.
func Build(version uint64, limits Limits, all []Route, services []Service, keys APIKeys) (*Table, error) {
	t := &Table{
		Version:  version,
		Limits:   limits,
		services: make(map[string]*Service, len(services)),
		byHost:   make(map[string]map[string]*Route),
		keys:     keys,
		byName:   make(map[string]*Route, len(all)),
	}
	for i := range services {
		t.services[services[i].Name] = &services[i]
	}
	for i := range all {
		if err := t.add(&all[i]); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *Table) add(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return eris.Errorf("routes: route %q: prefix %q must begin and end with a slash", r.Name, r.Prefix)
	}
	if len(r.Targets) == 0 {
		return eris.Errorf("routes: route %q has no target service", r.Name)
	}
	for _, target := range r.Targets {
		if _, ok := t.services[target.Service]; !ok {
			return eris.Errorf("routes: route %q: service %q is not configured", r.Name, target.Service)
		}
	}
	host := t.byHost[r.Host]
	if host == nil {
		host = make(map[string]*Route)
		t.byHost[r.Host] = host
	}
	host[r.Prefix] = r
	t.byName[r.Name] = r
	return nil
}

// Lookup returns the route for a host and a path without its query, or nil.
func (t *Table) Lookup(host, path string) *Route {
	byPrefix := t.byHost[strings.ToLower(host)]
	for end := len(path); end > 0 && byPrefix != nil; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if r := byPrefix[path[:slash+1]]; r != nil {
			return r
		}
		end = slash
	}
	return nil
}

// Engines returns the names of the services that are model engines, in no order.
func (t *Table) Engines() []string {
	var names []string
	for name, service := range t.services {
		if service.Engine != nil {
			names = append(names, name)
		}
	}
	return names
}

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Routes returns the routes by name. The map must not be modified.
func (t *Table) Routes() map[string]*Route { return t.byName }

// Authenticate returns the account that holds the key, or nil.
func (t *Table) Authenticate(key string) *ClientAccount {
	if key == "" {
		return nil
	}
	return t.keys.Accounts[key]
}

// RequiresKeys reports whether requests of routes that are not public must carry an API key.
func (t *Table) RequiresKeys() bool { return t.keys.Required }

// NeedsKey reports whether requests of the route must carry an API key. If the
// last key was revoked, none is valid.
func (t *Table) NeedsKey(r *Route) bool { return t.keys.Required && !r.Public }

// ChooseService returns the service that serves the request with the ID. Requests
// are divided among the targets by weight. The same ID gets the same service
// while the targets are unchanged. If no weight is positive, the first target
// gets all requests.
func (r *Route) ChooseService(id string) string {
	total := 0
	for _, target := range r.Targets {
		total += max(0, target.Weight)
	}
	if total == 0 {
		return r.Targets[0].Service
	}
	point := int(xxhash.Sum64String(id) % uint64(total)) //nolint:gosec // below total, which is an int
	for _, target := range r.Targets {
		point -= max(0, target.Weight)
		if point < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}
