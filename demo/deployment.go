package demo

import (
	"fmt"
	"net/http"
)

// exampleDeployment is the deployment of an example manifest, with the numbers of
// processes that the demo starts.
type exampleDeployment struct {
	name        string
	model       string
	service     string
	engines     int
	services    int
	dataCentres int
	kinds       []requestKind
}

// requestKind is one kind of request that callers send.
type requestKind struct {
	class  string
	stream bool
	method string
	// path is the path below the service. It is empty for requests to the model.
	path string
	// keyed requests need an idempotency key. Each is sent twice at the same time,
	// once through each entry.
	keyed bool
	// callers is the number of concurrent senders.
	callers int
}

func exampleDeployments() []exampleDeployment {
	return []exampleDeployment{
		{
			name: "lumiar", model: "enrolment-assistant", service: "booking", engines: 3, services: 2, dataCentres: 4,
			kinds: []requestKind{
				{class: "course-comparison", stream: true, callers: 8},
				{class: "application-drafting", callers: 4},
				{class: "reservation", method: http.MethodPost, path: "/reservations", keyed: true, callers: 2},
				{class: "payment", method: http.MethodPost, path: "/payments", keyed: true, callers: 2},
				{class: "catalogue-lookup", method: http.MethodGet, path: "/catalogue", callers: 4},
			},
		},
		{
			name: "atlas", model: "herd-assistant", service: "records", engines: 3, services: 2, dataCentres: 3,
			kinds: []requestKind{
				{class: "herd-summary", stream: true, callers: 8},
				{class: "sale-note", callers: 4},
				{class: "weighing", method: http.MethodPost, path: "/weighings", keyed: true, callers: 2},
				{class: "past-weight-lookup", method: http.MethodGet, path: "/weights", callers: 4},
			},
		},
	}
}

// dataCentre returns the data centre of the i-th VM. It spreads the VMs evenly
// over the data centres of the deployment.
func (d exampleDeployment) dataCentre(i int) string {
	return fmt.Sprintf("%s-dc%d", d.name, i%d.dataCentres+1)
}

// apiKey returns the API key of the first account in the example manifest.
func (d exampleDeployment) apiKey() string {
	return d.name + "-demo-key-01"
}
