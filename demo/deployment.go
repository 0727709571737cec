package demo

import (
	"fmt"
	"net/http"
)

// deployment is an example manifest with the sizes that the demo gives it.
type deployment struct {
	name     string
	model    string
	service  string
	engines  int
	services int
	centres  int
	kinds    []kind
}

// kind is one kind of request that callers send.
type kind struct {
	class  string
	stream bool
	method string
	// path is below the service; empty for requests to the model.
	path string
	// keyed requests need an idempotency key and are sent twice at once,
	// through both entries.
	keyed bool
	// callers is how many send at once.
	callers int
}

func deployments() []deployment {
	return []deployment{
		{
			name: "lumiar", model: "enrolment-assistant", service: "booking", engines: 3, services: 2, centres: 4,
			kinds: []kind{
				{class: "course-comparison", stream: true, callers: 8},
				{class: "application-drafting", callers: 4},
				{class: "reservation", method: http.MethodPost, path: "/reservations", keyed: true, callers: 2},
				{class: "payment", method: http.MethodPost, path: "/payments", keyed: true, callers: 2},
				{class: "catalogue-lookup", method: http.MethodGet, path: "/catalogue", callers: 4},
			},
		},
		{
			name: "atlas", model: "herd-assistant", service: "records", engines: 3, services: 2, centres: 3,
			kinds: []kind{
				{class: "herd-summary", stream: true, callers: 8},
				{class: "sale-note", callers: 4},
				{class: "weighing", method: http.MethodPost, path: "/weighings", keyed: true, callers: 2},
				{class: "past-weight-lookup", method: http.MethodGet, path: "/weights", callers: 4},
			},
		},
	}
}

// dataCentre spreads VMs over the deployment's data centres.
func (d deployment) dataCentre(i int) string {
	return fmt.Sprintf("%s-dc%d", d.name, i%d.centres+1)
}

// bearer is the key of the deployment's first account in the example.
func (d deployment) bearer() string {
	return d.name + "-demo-key-01"
}
