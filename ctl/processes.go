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

// requestTimeout bounds one question to one process.
const requestTimeout = 5 * time.Second

// maxParallelRequests bounds the processes that are asked at once.
const maxParallelRequests = 64

// Processes says which processes a command asks.
type Processes struct {
	Process   []string `placeholder:"ADDRESS" help:"Address of a process's admin listener, as IP:PORT or URL; can be repeated."`
	VMList    string   `name:"vm-list" placeholder:"URL" help:"Base URL of the platform's list of VMs; every VM on it is asked."`
	AdminPort int      `default:"7071" help:"Port of the admin listeners of the VMs on the list."`
}

// urls returns the base URLs of the admin listeners, each once: those named,
// then those of the list in its order.
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
		twice := seen[u]
		seen[u] = true
		return twice
	})
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimRight(address, "/")
	}
	return "http://" + address
}

// httpGet asks a process; the caller closes the body.
func httpGet(ctx context.Context, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "address")
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		answer.Body.Close()
		return nil, eris.Errorf("%s answered %s", url, answer.Status)
	}
	return answer, nil
}
