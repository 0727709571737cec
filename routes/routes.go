// Package routes is the configuration in force as a gateway uses it: which
// requests go to which service, what may be repeated, and whose keys count. It
// does no I/O; a Table does not change once built.
//
// A caller may rely on Lookup choosing the longest prefix of the path among the
// routes of the host, and on a Table being whole: a version that cannot be
// built is refused as a whole.
package routes

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Kind says what may be repeated.
type Kind string

// Kinds of routes.
const (
	// Safe requests are idempotent.
	Safe Kind = "safe"
	// Unsafe requests run at most once for each attempt of a caller.
	Unsafe Kind = "unsafe"
	// Stream answers are event streams. They run at most once unless the
	// route is Resumable.
	Stream Kind = "stream"
)

// Target is one service that a route sends to.
type Target struct {
	Service string
	// Weight is relative to the other targets of the route.
	Weight int
}

// Route is how requests below a prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix    string
	Kind      Kind
	Resumable bool
	// Timeout is the longest time to the final answer.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event of a stream.
	LatencyTarget time.Duration
	// MaxEventGap is the longest pause between events that is on time; zero is
	// no goal.
	MaxEventGap time.Duration
	// MaxAttempts is how many backend servers may run one attempt of a caller.
	MaxAttempts int
	// Priority is 0 for the most urgent.
	Priority int
	// Public routes need no key.
	Public  bool
	Targets []Target
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service is a pool of backend servers.
type Service struct {
	Name string
	// MaxConnections bounds the connections of all callers to one backend
	// server together.
	MaxConnections int
	// Engine is set for services that generate tokens.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// KVCacheTokens is how many tokens its running requests and cached
	// prefixes may hold together.
	KVCacheTokens int
	// KVBytesPerToken is the memory of one token, in bytes.
	KVBytesPerToken float64
	// TransferBytesPerMs is how fast one engine copies memory from another, in
	// bytes a millisecond.
	TransferBytesPerMs float64
}

// ClientAccount is who a key belongs to.
type ClientAccount struct {
	Name string
	// Priority goes before the priority of the route; 0 is the most urgent.
	Priority int
}

// Limits bound what a caller may send.
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
	// byHost holds the routes of a host by their prefix.
	byHost map[string]map[string]*Route
	keys   map[string]*ClientAccount
	names  map[string]*Route
	// retired are the keys and retiredRoutes the hosts and prefixes of earlier
	// versions that this one lacks.
	retired       map[string]bool
	retiredRoutes map[string]bool
}

// maxRetired bounds what is remembered of earlier versions.
const maxRetired = 4096

// WithRetiredFrom returns a copy of the table that knows what the table before it had.
// Who asks for that is refused without a doubt that a newer version brings it.
func (t *Table) WithRetiredFrom(old *Table) *Table {
	next := *t
	next.retired = make(map[string]bool)
	next.retiredRoutes = make(map[string]bool)
	if old == nil {
		return &next
	}
	retire(next.retired, old.retired, old.keys, func(key string) bool { return t.keys[key] != nil })
	present := make(map[string]bool, len(t.names))
	for _, r := range t.names {
		present[r.Host+r.Prefix] = true
	}
	before := make(map[string]bool, len(old.names))
	for _, r := range old.names {
		before[r.Host+r.Prefix] = true
	}
	retire(next.retiredRoutes, old.retiredRoutes, before, func(route string) bool { return present[route] })
	return &next
}

// retire adds to the set what was retired before or held by the old table and
// is not present.
func retire[V any](set, earlier map[string]bool, held map[string]V, present func(string) bool) {
	for name := range earlier {
		if !present(name) && len(set) < maxRetired {
			set[name] = true
		}
	}
	for name := range held {
		if !present(name) && len(set) < maxRetired {
			set[name] = true
		}
	}
}

// RetiredKey reports whether an earlier version held the key.
func (t *Table) RetiredKey(key string) bool { return t.retired[key] }

// RetiredRoute reports whether an earlier version had a route for the path that
// this one lacks.
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

// Build checks and indexes a configuration.
func Build(version uint64, limits Limits, all []Route, services []Service, keys map[string]*ClientAccount) (*Table, error) {
	t := &Table{
		Version:  version,
		Limits:   limits,
		services: make(map[string]*Service, len(services)),
		byHost:   make(map[string]map[string]*Route),
		keys:     keys,
		names:    make(map[string]*Route, len(all)),
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
		return eris.Errorf("routes: route %q: no service", r.Name)
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
	t.names[r.Name] = r
	return nil
}

// Lookup returns the route of a host and a path without its query; nil is no
// route.
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

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Routes returns the routes by name. The map must not be changed.
func (t *Table) Routes() map[string]*Route { return t.names }

// Authenticate returns the account that holds the key, or nil.
func (t *Table) Authenticate(key string) *ClientAccount {
	if key == "" {
		return nil
	}
	return t.keys[key]
}

// NeedsKey reports whether requests of the route must carry a key.
func (t *Table) NeedsKey(r *Route) bool { return len(t.keys) > 0 && !r.Public }

// ChooseService returns the service that serves the request with the id. The same id
// always gets the same one while the weights stay.
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
