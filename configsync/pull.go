package configsync

import (
	"context"
	"encoding/binary"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/configsync/delta"
	"github.com/sesameswitch/sesameswitch/manifest"
)

// errGone says that a peer replaced its document during a pull.
var errGone = eris.New("configsync: the peer no longer has the document")

// pull fetches the newest document of the process at address. It reports
// whether this process is then as new as that one.
func (s *Syncer) pull(ctx context.Context, address string) bool {
	s.pulling.Lock()
	defer s.pulling.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timing.PullTimeout)
	fetched, err := s.fetch(ctx, address)
	cancel()
	if err != nil {
		s.counts.PullFailures.Add(1)
		return false
	}
	if fetched == nil {
		return true
	}
	s.relay.Store(fetched)
	s.announceSoon()
	if !s.take(fetched, Source(address)) {
		s.refused = fetched.document.Recipe.Digest
	}
	s.relay.Store(nil)
	return true
}

// take offers a document from a peer to the store.
func (s *Syncer) take(h *held, from Source) bool {
	verdict, _ := s.cfg.Store.Apply(h.document.Body(), from)
	if verdict != Accepted && verdict != Same {
		return false
	}
	s.revision.Store(h.revision)
	return true
}

// fetch returns the newest document at address, or nil when it is no newer
// than the one here or was refused before.
func (s *Syncer) fetch(ctx context.Context, address string) (*held, error) {
	var reply PullReply
	if err := s.cfg.Caller.Call(ctx, address, MethodPull, PullArgs{}, &reply); err != nil {
		return nil, err
	}
	if reply.Version <= s.newest() || reply.Recipe.Digest == s.refused {
		return nil, nil
	}
	s.counts.Pulls.Add(1)
	body, err := s.assemble(ctx, address, reply.Recipe)
	if err != nil {
		return nil, err
	}
	return &held{version: reply.Version, revision: reply.Revision, document: delta.NewDocument(body)}, nil
}

// assemble builds the document of a recipe from the chunks in force and the
// missing ones at address; when that fails, from all its chunks there.
func (s *Syncer) assemble(ctx context.Context, address string, recipe delta.Recipe) ([]byte, error) {
	var base *delta.Document
	if now := s.cfg.Store.document(); now != nil {
		base = now.document
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
		if err := s.cfg.Caller.Call(ctx, address, MethodChunks, args, &reply); err != nil {
			return nil, err
		}
	}
	if reply.Gone {
		return nil, errGone
	}
	for _, chunk := range reply.Chunks {
		s.counts.ChunkBytes.Add(uint64(len(chunk)))
	}
	return base.Assemble(recipe, missing, reply.Chunks, manifest.MaxDocumentBytes)
}

// shortDigest returns the first bytes of a digest as a number.
func shortDigest(d delta.Digest) uint64 {
	return binary.BigEndian.Uint64(d[:8])
}
