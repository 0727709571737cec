package httpprovider

import (
	"context"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/provider"
)

// maxVMListBytes is the maximum size of the list of VMs.
const maxVMListBytes = 8 << 20

// VMLister reads the platform's list of VMs.
type VMLister struct {
	url    string
	client *http.Client
}

var _ provider.VMLister = (*VMLister)(nil)

// NewVMLister returns a lister that reads the list of VMs at baseURL.
func NewVMLister(baseURL string) *VMLister {
	return &VMLister{
		url:    strings.TrimRight(baseURL, "/") + "/v1/vms",
		client: newReadClient(),
	}
}

// List returns the VMs that are live or leaving according to the platform.
func (l *VMLister) List(ctx context.Context) ([]provider.VM, error) {
	var vms []provider.VM
	err := getJSON(ctx, l.client, l.url, maxVMListBytes, &vms)
	return vms, eris.Wrap(err, "VM list")
}
