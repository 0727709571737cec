package configsync

// RPCService serves versions and documents to peers by net/rpc. Register it under
// ServiceName. Its methods do not block.
type RPCService struct {
	syncer *Syncer
}

// RPCService returns the RPC service of the syncer.
func (s *Syncer) RPCService() *RPCService { return &RPCService{syncer: s} }

// Version observes the advert of a peer and replies with that of this process.
func (v *RPCService) Version(peer VersionAdvert, reply *VersionAdvert) error {
	v.syncer.observeAdvert(peer, peer.Address)
	*reply = v.syncer.advert("")
	return nil
}

// Notify handles the announcement of a version by a peer, as Version does.
func (v *RPCService) Notify(peer VersionAdvert, reply *VersionAdvert) error {
	return v.Version(peer, reply)
}

// Pull returns the recipe of the newest document.
func (v *RPCService) Pull(_ PullArgs, reply *PullReply) error {
	newest := v.syncer.newestDocument()
	if newest == nil {
		return nil
	}
	*reply = PullReply{Version: newest.version, Revision: newest.revision, Recipe: newest.document.Recipe}
	return nil
}

// Chunks returns chunks of a document whose recipe Pull returned.
func (v *RPCService) Chunks(args ChunksArgs, reply *ChunksReply) error {
	document := v.syncer.findDocument(args.Digest)
	if document == nil {
		reply.Gone = true
		return nil
	}
	chunks, ok := document.Chunks(args.Indexes)
	reply.Chunks, reply.Gone = chunks, !ok
	return nil
}
