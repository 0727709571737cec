package ctl

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/provider/httpprovider"
)

// requestTimeout bounds the time to fetch the status of one process, and the time to
// fetch the events of all processes.
const requestTimeout = 5 * time.Second

// maxParallelRequests is the maximum number of concurrent requests to processes.
const maxParallelRequests = 64

// Processes selects the processes to which a command sends requests.
type Processes struct {
	Process   []string `placeholder:"ADDRESS" help:"Address of a process's admin listener, as IP:PORT or URL; can be repeated."`
	VMList    string   `name:"vm-list" placeholder:"URL" help:"Base URL of the platform's list of VMs; selects the processes on all of these VMs."`
	AdminPort int      `default:"7071" help:"Port of the admin listeners on the VMs of the list."`
}

// urls returns the base URLs of the admin listeners without duplicates: those of
// the flag --process, then those of the VM list in its order.
func (p *Processes) urls(ctx context.Context) ([]string, error) {
	var urls []string
	for _, address := range p.Process {
		urls = append(urls, baseURL(address))
	}
	if p.VMList != "" {
		vms, err := httpprovider.NewVMLister(p.VMList).List(ctx)
		if err != nil {
			return nil, err
		}
		for _, vm := range vms {
			host, _, err := net.SplitHostPort(vm.Address)
			if err != nil {
				return nil, eris.Wrapf(err, "address of VM %s", vm.Name)
			}
			urls = append(urls, baseURL(net.JoinHostPort(host, strconv.Itoa(p.AdminPort))))
		}
	}
	return distinct(urls), nil
}

func distinct(urls []string) []string {
	seen := make(map[string]bool, len(urls))
	return slices.DeleteFunc(urls, func(u string) bool {
		duplicate := seen[u]
		seen[u] = true
		return duplicate
	})
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimRight(address, "/")
	}
	return "http://" + address
}

// httpGet sends a GET request to a process. It fails unless the status is 200. The
// caller must close the body.
func httpGet(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "invalid address")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, eris.Errorf("%s returned status %s", url, resp.Status)
	}
	return resp, nil
}
