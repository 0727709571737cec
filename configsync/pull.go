package configsync

import (
	"context"
	"encoding/binary"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/configsync/delta"
	"github.com/sesameswitch/sesameswitch/manifest"
)

// errDocumentGone is returned when a peer replaced its document during a pull.
var errDocumentGone = eris.New("configsync: peer no longer has the document")

// pull fetches the newest document of the process at address and applies it. It
// returns false only when the transfer fails; a document that the store refuses,
// or that is no newer than the newest document of this process, is no failure.
func (s *Syncer) pull(ctx context.Context, address string) bool {
	s.pullMu.Lock()
	defer s.pullMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timing.PullTimeout)
	fetched, err := s.fetchNewer(ctx, address)
	cancel()
	if err != nil {
		s.counts.PullFailures.Add(1)
		return false
	}
	if fetched == nil {
		return true
	}
	s.relayed.Store(fetched)
	s.requestAnnouncement()
	if !s.apply(fetched, Origin(address)) {
		s.refusedDigest = fetched.document.Recipe.Digest
	}
	s.relayed.Store(nil)
	return true
}

// apply applies a document from a peer to the store and reports whether it is
// active afterwards.
func (s *Syncer) apply(fetched *servedDocument, from Origin) bool {
	verdict, _ := s.cfg.Store.Apply(fetched.document.Body(), from)
	if verdict != Accepted && verdict != Same {
		return false
	}
	s.revision.Store(fetched.revision)
	return true
}

// fetchNewer returns the newest document of the process at address. It returns nil
// when that document is no newer than the newest document of this process, or is
// the document that the store refused last.
func (s *Syncer) fetchNewer(ctx context.Context, address string) (*servedDocument, error) {
	var reply PullReply
	if err := s.cfg.Peers.Call(ctx, address, MethodPull, PullArgs{}, &reply); err != nil {
		return nil, err
	}
	if reply.Version <= s.newestVersion() || reply.Recipe.Digest == s.refusedDigest {
		return nil, nil
	}
	s.counts.Pulls.Add(1)
	body, err := s.assemble(ctx, address, reply.Recipe)
	if err != nil {
		return nil, err
	}
	return &servedDocument{version: reply.Version, revision: reply.Revision, document: delta.NewDocument(body)}, nil
}

// assemble builds the document of a recipe from the chunks of the active
// document and the missing chunks fetched from address. When the digest does not
// match, for example because sums of chunks collide, it fetches all chunks.
func (s *Syncer) assemble(ctx context.Context, address string, recipe delta.Recipe) ([]byte, error) {
	var base *delta.Document
	if active := s.cfg.Store.active(); active != nil {
		base = active.document
	}
	body, err := s.assembleFrom(ctx, address, recipe, base)
	if err == nil || !eris.Is(err, delta.ErrDigestMismatch) {
		return body, err
	}
	s.counts.FullPulls.Add(1)
	return s.assembleFrom(ctx, address, recipe, nil)
}

func (s *Syncer) assembleFrom(ctx context.Context, address string, recipe delta.Recipe, base *delta.Document) ([]byte, error) {
	missing := base.Missing(recipe)
	var reply ChunksReply
	if len(missing) > 0 {
		args := ChunksArgs{Digest: recipe.Digest, Indexes: missing}
		if err := s.cfg.Peers.Call(ctx, address, MethodChunks, args, &reply); err != nil {
			return nil, err
		}
	}
	if reply.Gone {
		return nil, errDocumentGone
	}
	for _, chunk := range reply.Chunks {
		s.counts.ChunkBytes.Add(uint64(len(chunk)))
	}
	return base.Assemble(recipe, missing, reply.Chunks, manifest.MaxDocumentBytes)
}

// shortDigest returns the first eight bytes of a digest as a number.
func shortDigest(d delta.Digest) uint64 {
	return binary.BigEndian.Uint64(d[:8])
}
