package demo

import (
	"fmt"
	"net/http"
)

// exampleDeployment is a deployment with the manifest of an example. It has two
// entries, and an agent for each backend server.
type exampleDeployment struct {
	name    string
	model   string
	service string
	// engines and services are the numbers of backend servers that run the model
	// and the service.
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
	// senders is the number of concurrent senders.
	senders int
}

func exampleDeployments() []exampleDeployment {
	return []exampleDeployment{
		{
			name: "lumiar", model: "enrolment-assistant", service: "booking", engines: 3, services: 2, dataCentres: 4,
			kinds: []requestKind{
				{class: "course-comparison", stream: true, senders: 8},
				{class: "application-drafting", senders: 4},
				{class: "reservation", method: http.MethodPost, path: "/reservations", keyed: true, senders: 2},
				{class: "payment", method: http.MethodPost, path: "/payments", keyed: true, senders: 2},
				{class: "catalogue-lookup", method: http.MethodGet, path: "/catalogue", senders: 4},
			},
		},
		{
			name: "atlas", model: "herd-assistant", service: "records", engines: 3, services: 2, dataCentres: 3,
			kinds: []requestKind{
				{class: "herd-summary", stream: true, senders: 8},
				{class: "sale-note", senders: 4},
				{class: "weighing", method: http.MethodPost, path: "/weighings", keyed: true, senders: 2},
				{class: "past-weight-lookup", method: http.MethodGet, path: "/weights", senders: 4},
			},
		},
	}
}

// dataCentre returns the data centre of entry i or of agent i. Both are spread
// evenly over the data centres of the deployment.
func (d exampleDeployment) dataCentre(i int) string {
	return fmt.Sprintf("%s-dc%d", d.name, i%d.dataCentres+1)
}

// apiKey returns the API key of the first account in the example manifest.
func (d exampleDeployment) apiKey() string {
	return d.name + "-demo-key-01"
}
