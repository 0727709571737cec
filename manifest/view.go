package manifest

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

// View is a manifest with indexes for the lookups of request handling. It is
// immutable and safe for concurrent use.
type View struct {
	Manifest          *Manifest
	classes           map[string]*Class
	models            map[string]*Model
	services          map[string]*Service
	accounts          map[string]*ClientAccount
	accountsByKeyHash map[string]*ClientAccount
}

// NewView returns a view of a valid manifest.
func NewView(m *Manifest) *View {
	v := &View{
		Manifest:          m,
		classes:           make(map[string]*Class, len(m.Classes)),
		models:            make(map[string]*Model, len(m.Models)),
		services:          make(map[string]*Service, len(m.Services)),
		accounts:          make(map[string]*ClientAccount, len(m.Accounts)),
		accountsByKeyHash: make(map[string]*ClientAccount, len(m.Accounts)),
	}
	for i := range m.Classes {
		v.classes[m.Classes[i].Name] = &m.Classes[i]
	}
	for i := range m.Models {
		v.models[m.Models[i].Name] = &m.Models[i]
	}
	for i := range m.Services {
		v.services[m.Services[i].Name] = &m.Services[i]
	}
	for i := range m.Accounts {
		v.addAccount(&m.Accounts[i])
	}
	return v
}

func (v *View) addAccount(account *ClientAccount) {
	v.accounts[account.Name] = account
	for _, hash := range account.KeyHashes {
		v.accountsByKeyHash[hash] = account
	}
}

// Version returns the version of the manifest.
func (v *View) Version() uint64 { return v.Manifest.Version }

// Class returns the class with the name.
func (v *View) Class(name string) (*Class, bool) {
	c, ok := v.classes[name]
	return c, ok
}

// Model returns the model with the name.
func (v *View) Model(name string) (*Model, bool) {
	m, ok := v.models[name]
	return m, ok
}

// Service returns the plain service with the name.
func (v *View) Service(name string) (*Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// Account returns the client account with the name.
func (v *View) Account(name string) (*ClientAccount, bool) {
	a, ok := v.accounts[name]
	return a, ok
}

// Authenticate returns the account to which an API key belongs. It compares only
// hashes, so response times reveal nothing about valid API keys.
func (v *View) Authenticate(apiKey string) (*ClientAccount, bool) {
	sum := sha256.Sum256([]byte(apiKey))
	account, ok := v.accountsByKeyHash[hex.EncodeToString(sum[:])]
	return account, ok
}

// Allows reports whether the account may use the class.
func (a *ClientAccount) Allows(class string) bool {
	if len(a.Classes) == 0 {
		return true
	}
	for _, c := range a.Classes {
		if c == class {
			return true
		}
	}
	return false
}

// RouteForModel returns the first route that matches requests to a model.
func (v *View) RouteForModel(model string) (*Route, bool) {
	for i := range v.Manifest.Routes {
		r := &v.Manifest.Routes[i]
		if r.Model != "" && r.Model == model {
			return r, true
		}
	}
	return nil, false
}

// RouteForService returns the first route that matches a request to a plain
// service. The path is the part of the URL path after the service's name and starts
// with a slash.
func (v *View) RouteForService(service, method, path string) (*Route, bool) {
	for i := range v.Manifest.Routes {
		r := &v.Manifest.Routes[i]
		if r.matchesService(service, method, path) {
			return r, true
		}
	}
	return nil, false
}

func (r *Route) matchesService(service, method, path string) bool {
	if r.Service == "" || r.Service != service {
		return false
	}
	if !strings.HasPrefix(path, r.PathPrefix) {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// Class returns the class of a request that matches the route. The parameter
// requested is the class that the caller selected, or "" for the default of the
// route. Class returns false if the route does not allow the requested class.
func (r *Route) Class(requested string) (string, bool) {
	if requested == "" {
		return r.Classes[0], true
	}
	for _, c := range r.Classes {
		if c == requested {
			return c, true
		}
	}
	return "", false
}
