package manifest

import (
	"fmt"
	"slices"
	"strings"
)

func checkRoutes(r *report, m *Manifest, classIndex, modelIndex, serviceIndex map[string]int) {
	for i := range m.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		checkRouteOffering(r, path, &m.Routes[i], modelIndex, serviceIndex)
		checkClassNames(r, path+".classes", m.Routes[i].Classes, classIndex)
		checkRepeatability(r, path+".classes", m, m.Routes[i].Classes, classIndex)
		checkShadowed(r, path, m.Routes, i)
	}
}

// checkRouteOffering reports a route that does not name exactly one defined model
// or service, a model route that sets fields of service routes, and a path prefix
// without a leading slash.
func checkRouteOffering(r *report, path string, route *Route, modelIndex, serviceIndex map[string]int) {
	if (route.Model == "") == (route.Service == "") {
		r.add(path, "must set either model or service")
		return
	}
	if route.Model != "" {
		if _, known := modelIndex[route.Model]; !known {
			r.add(path+".model", "%q is not a model", route.Model)
		}
		if len(route.Methods) > 0 {
			r.add(path+".methods", "is only for services")
		}
		if route.PathPrefix != "" {
			r.add(path+".path_prefix", "is only for services")
		}
		return
	}
	if _, known := serviceIndex[route.Service]; !known {
		r.add(path+".service", "%q is not a service", route.Service)
	}
	if route.PathPrefix != "" && !strings.HasPrefix(route.PathPrefix, "/") {
		r.add(path+".path_prefix", "must start with /")
	}
}

// checkRepeatability reports a route whose classes differ in repeatability. In
// such a route a caller could request an idempotent class for an operation that
// must run at most once, such as a payment.
func checkRepeatability(r *report, path string, m *Manifest, names []string, classIndex map[string]int) {
	for i, name := range names {
		first, knownFirst := classIndex[names[0]]
		index, known := classIndex[name]
		if !known || !knownFirst {
			continue
		}
		if m.Classes[index].Repeatability != m.Classes[first].Repeatability {
			r.add(fmt.Sprintf("%s[%d]", path, i), "%q and %q differ in repeatability", name, names[0])
		}
	}
}

// checkShadowed reports routes[i] if it never matches because an earlier route
// matches all of its requests.
func checkShadowed(r *report, path string, routes []Route, i int) {
	for j := range i {
		if routes[j].covers(&routes[i]) {
			r.add(path, "never matches, since routes[%d] matches first", j)
			return
		}
	}
}

// covers reports whether r matches every request that other matches.
func (r *Route) covers(other *Route) bool {
	if r.Model != other.Model || r.Service != other.Service {
		return false
	}
	if !strings.HasPrefix(other.PathPrefix, r.PathPrefix) {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	if len(other.Methods) == 0 {
		return false
	}
	for _, method := range other.Methods {
		if !slices.Contains(r.Methods, method) {
			return false
		}
	}
	return true
}
