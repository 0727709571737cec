package configsync

// Service answers peers' questions on versions by net/rpc. Register it under
// ServiceName. Its methods never wait.
type Service struct {
	syncer *Syncer
}

// Service returns the RPC service of the syncer.
func (s *Syncer) Service() *Service { return &Service{syncer: s} }

// Version exchanges version numbers with a peer.
func (v *Service) Version(peer VersionAdvert, reply *VersionAdvert) error {
	v.syncer.observeAdvert(peer, peer.Address)
	*reply = v.syncer.advert("")
	return nil
}

// Notify takes a peer's announcement of a version.
func (v *Service) Notify(peer VersionAdvert, reply *VersionAdvert) error {
	return v.Version(peer, reply)
}

// Pull returns the recipe of the newest document here.
func (v *Service) Pull(_ PullArgs, reply *PullReply) error {
	h := v.syncer.newestDocument()
	if h == nil {
		return nil
	}
	*reply = PullReply{Version: h.version, Revision: h.revision, Recipe: h.document.Recipe}
	return nil
}

// Chunks returns chunks of a document that Pull named.
func (v *Service) Chunks(args ChunksArgs, reply *ChunksReply) error {
	document := v.syncer.findDocument(args.Digest)
	if document == nil {
		reply.Gone = true
		return nil
	}
	chunks, ok := document.Chunks(args.Indexes)
	reply.Chunks, reply.Gone = chunks, !ok
	return nil
}
