package membership

import (
	"time"

	"github.com/sesameswitch/sesameswitch/configsync/delta"
)

// ServiceName is the net/rpc name of Service.
const ServiceName = "Membership"

// Names of the RPC methods that every process serves.
const (
	MethodPull   = ServiceName + ".Pull"
	MethodChunks = ServiceName + ".Chunks"
)

// PullArgs asks for the list of VMs that a process uses.
type PullArgs struct {
	// Have is the digest of the list that the asking process has.
	Have delta.Digest
}

// PullReply says how old the list is, and how to build it when it differs
// from the asking process's.
type PullReply struct {
	// Known is false when the process has no list.
	Known bool
	// Age is the time since the platform gave out the list.
	Age time.Duration
	// Same is true when the lists are equal; Recipe is then empty.
	Same   bool
	Recipe delta.Recipe
}

// ChunksArgs asks for chunks of one list.
type ChunksArgs struct {
	Digest  delta.Digest
	Indexes []int
}

// ChunksReply carries the chunks in the order asked for.
type ChunksReply struct {
	// Gone is true when the process no longer holds the list.
	Gone   bool
	Chunks [][]byte
}
