package httpprovider

import (
	"context"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/provider"
)

// maxVMListBytes bounds the list of VMs.
const maxVMListBytes = 8 << 20

// VMList reads the platform's list of VMs.
type VMList struct {
	url    string
	client *http.Client
}

var _ provider.VMList = (*VMList)(nil)

// NewVMList returns a reader of the list at baseURL.
func NewVMList(baseURL string) *VMList {
	return &VMList{
		url:    strings.TrimRight(baseURL, "/") + "/v1/vms",
		client: newReadClient(),
	}
}

// List returns the VMs that the platform believes live or leaving.
func (l *VMList) List(ctx context.Context) ([]provider.VM, error) {
	var vms []provider.VM
	err := getJSON(ctx, l.client, l.url, maxVMListBytes, &vms)
	return vms, eris.Wrap(err, "VM list")
}
