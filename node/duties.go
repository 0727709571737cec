package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sesameswitch/sesameswitch/configsync"
	"github.com/sesameswitch/sesameswitch/platform/httpplatform"
)

// duties keep the configuration and the membership up to date.
type duties struct {
	node   *Node
	config *httpplatform.ConfigSource
	vms    *httpplatform.VMList
}

func newDuties(n *Node) *duties {
	return &duties{
		node:   n,
		config: httpplatform.NewConfigSource(n.Settings.ConfigURL, n.Settings.ConfigKey),
		vms:    httpplatform.NewVMList(n.Settings.VMListURL),
	}
}

func (d *duties) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, time.Second, d.readConfig) })
	group.Go(func() error { return every(ctx, time.Second, d.readVMs) })
	return group.Wait()
}

func every(ctx context.Context, interval time.Duration, duty func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		duty(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *duties) readConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	document, err := d.config.Read(ctx)
	if err != nil {
		return
	}
	_, _ = d.node.Configuration.Offer(document.Body, configsync.SourceService) // the hooks report it
}

func (d *duties) readVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	vms, err := d.vms.List(ctx)
	if err != nil {
		return
	}
	d.node.Members.Apply(vms)
}

func (d *duties) confirm(ctx context.Context) { d.readConfig(ctx) }

func (d *duties) heard(uint64, string) {}
