package configsync

import "github.com/sesameswitch/sesameswitch/configsync/delta"

// ServiceName is the net/rpc name of Service.
const ServiceName = "Config"

// Names of the RPC methods that every process serves.
const (
	MethodVersion = ServiceName + ".Version"
	MethodNotify  = ServiceName + ".Notify"
	MethodPull    = ServiceName + ".Pull"
	MethodChunks  = ServiceName + ".Chunks"
)

// VersionAdvert says which version a process can hand out.
type VersionAdvert struct {
	Version uint64
	// Digest tells two documents of the same version apart.
	Digest uint64
	// Revision is the configuration service's number of the document, or 0.
	Revision uint64
	// Address is the peer listener of the process; a reply leaves it empty.
	Address string
}

// PullArgs asks for the recipe of the newest document.
type PullArgs struct{}

// PullReply is the recipe of the newest document. Version 0 means that there
// is none.
type PullReply struct {
	Version  uint64
	Revision uint64
	Recipe   delta.Recipe
}

// ChunksArgs asks for chunks of one document.
type ChunksArgs struct {
	Digest  delta.Digest
	Indexes []int
}

// ChunksReply carries the chunks in the order asked for.
type ChunksReply struct {
	// Gone is true when the process no longer holds the document.
	Gone   bool
	Chunks [][]byte
}
