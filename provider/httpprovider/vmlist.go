package httpprovider

import (
	"context"
	"encoding/json"
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
	// OnInvalid, if set, is called with the error of each entry that cannot be decoded.
	OnInvalid func(err error)
}

var _ provider.VMLister = (*VMLister)(nil)

// NewVMLister returns a lister that reads the list of VMs at baseURL.
func NewVMLister(baseURL string) *VMLister {
	return &VMLister{
		url:    strings.TrimRight(baseURL, "/") + "/v1/vms",
		client: newReadClient(),
	}
}

// List returns the VMs that are live or leaving according to the platform. An entry that cannot be
// decoded names no VM, and the others hold.
func (l *VMLister) List(ctx context.Context) ([]provider.VM, error) {
	var entries []json.RawMessage
	if err := getJSON(ctx, l.client, l.url, maxVMListBytes, &entries); err != nil {
		return nil, eris.Wrap(err, "VM list")
	}
	vms := make([]provider.VM, 0, len(entries))
	for i, entry := range entries {
		var vm provider.VM
		err := json.Unmarshal(entry, &vm)
		if err == nil {
			vms = append(vms, vm)
		} else if l.OnInvalid != nil {
			l.OnInvalid(eris.Wrapf(err, "VM list: entry %d", i))
		}
	}
	return vms, nil
}
