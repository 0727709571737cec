// Package node provides what the entry and agent processes have in common: the
// configuration, the membership, the connections to peers, the time line, the
// metrics, the admin listener and the lifecycle of the process.
package node

import (
	"time"

	"github.com/sesameswitch/sesameswitch/settings"
)

// Settings are the settings that every entry and agent process has. Names of flags
// are derived from the names of the fields.
type Settings struct {
	VM         string `required:"" validate:"required,name" help:"Name of this VM."`
	DataCentre string `required:"" validate:"required,name" help:"Data centre of this VM."`
	Region     string `validate:"omitempty,name" help:"Region of the data centre."`

	AdminListen string `default:"127.0.0.1:7071" validate:"tcp_addr" help:"Address for metrics, time line and status."`
	ConfigURL   string `name:"config-url" required:"" validate:"url" help:"Base URL of the configuration service."`
	ConfigKey   string `default:"sesame-manifest" help:"Key of the manifest in the configuration service."`
	VMListURL   string `name:"vm-list-url" required:"" validate:"url" help:"Base URL of the list of VMs."`

	DrainTimeout   time.Duration `default:"10m" validate:"min=0" help:"Maximum time to wait for requests in flight when the process is asked to stop."`
	MemoryMB       int           `name:"memory-mb" default:"256" validate:"min=64,max=1048576" help:"Memory of this process, in megabytes: what requests, messages and connections may hold is a share of it."`
	TimelineEvents int           `default:"16384" validate:"min=16,max=1000000" help:"Number of events that the time line keeps."`

	settings.Logging
	settings.Printing
}

// MemoryBytes returns the memory of the process in bytes.
func (s *Settings) MemoryBytes() int64 { return int64(s.MemoryMB) << 20 }
