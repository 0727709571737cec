// Package node joins the parts that every process of the system has: the
// configuration, the membership, the connections to peers, the time line, the
// counters and the life of the process from start to stop.
package node

import (
	"time"

	"github.com/sesameswitch/sesameswitch/settings"
)

// Settings are the settings that every process has.
type Settings struct {
	VM         string `required:"" validate:"required,name" help:"Name of this VM."`
	DataCentre string `required:"" validate:"required,name" help:"Data centre of this VM."`
	Region     string `validate:"omitempty,name" help:"Region of the data centre."`

	AdminListen string `default:"127.0.0.1:7071" validate:"tcp_addr" help:"Address for metrics, time line and status."`
	ConfigURL   string `name:"config-url" required:"" validate:"url" help:"Base URL of the configuration service."`
	ConfigKey   string `default:"sesame-manifest" help:"Key of the manifest in the configuration service."`
	VMListURL   string `name:"vm-list-url" required:"" validate:"url" help:"Base URL of the list of VMs."`

	DrainTimeout   time.Duration `default:"10m" validate:"min=0" help:"Longest time to wait for requests in flight when the process is asked to end."`
	TimelineEvents int           `default:"16384" validate:"min=16,max=1000000" help:"Events that the time line keeps."`

	settings.Logging
	settings.Printing
}
