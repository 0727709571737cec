package membership

import (
	"time"

	"github.com/sesameswitch/sesameswitch/configsync/delta"
)

// ServiceName is the name under which RPCService is registered with net/rpc.
const ServiceName = "Membership"

// Names of the RPC methods that every process serves.
const (
	MethodPull   = ServiceName + ".Pull"
	MethodChunks = ServiceName + ".Chunks"
)

// PullArgs requests the list of VMs that a process has.
type PullArgs struct {
	// Have is the digest of the list that the requesting process has.
	Have delta.Digest
}

// PullReply contains the age of the list, and the list's recipe when the list
// differs from that of the requesting process.
type PullReply struct {
	// Known is false when the process has no list.
	Known bool
	// Age is the time since the list was read from the platform.
	Age time.Duration
	// Same is true when both processes have equal lists; Recipe is then empty.
	Same   bool
	Recipe delta.Recipe
}

// ChunksArgs requests chunks of one list.
type ChunksArgs struct {
	Digest  delta.Digest
	Indexes []int
}

// ChunksReply holds the chunks in the order of the requested indexes.
type ChunksReply struct {
	// Gone reports that the process no longer has the list, or that an index is out
	// of range.
	Gone   bool
	Chunks [][]byte
}
