package configsync

import "github.com/sesameswitch/sesameswitch/configsync/delta"

// ServiceName is the name under which RPCService is registered with net/rpc.
const ServiceName = "Config"

// Names of the RPC methods that every process serves.
const (
	MethodVersion = ServiceName + ".Version"
	MethodNotify  = ServiceName + ".Notify"
	MethodPull    = ServiceName + ".Pull"
	MethodChunks  = ServiceName + ".Chunks"
)

// VersionAdvert advertises the newest version that a process can serve.
type VersionAdvert struct {
	Version uint64
	// Digest distinguishes two documents of the same version. It is the first
	// eight bytes of the document's digest.
	Digest uint64
	// Revision is the configuration service's revision of the document, or 0.
	Revision uint64
	// Address is the address of the process's peer listener; empty in a reply.
	Address string
}

// PullArgs requests the recipe of the newest document.
type PullArgs struct{}

// PullReply is the recipe of the newest document. Version 0 means that the
// process has no document.
type PullReply struct {
	Version  uint64
	Revision uint64
	Recipe   delta.Recipe
}

// ChunksArgs requests chunks of one document.
type ChunksArgs struct {
	Digest  delta.Digest
	Indexes []int
}

// ChunksReply holds the chunks in the order of the requested indexes.
type ChunksReply struct {
	// Gone reports that the process no longer has the document, or that an index is
	// out of range.
	Gone   bool
	Chunks [][]byte
}
