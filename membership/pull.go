package membership

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/configsync/delta"
	"github.com/sesameswitch/sesameswitch/provider"
)

// encode writes a list so that equal lists give equal bytes.
func encode(vms []provider.VM) (*delta.Document, error) {
	sorted := slices.Clone(vms)
	sortByName(sorted)
	var body bytes.Buffer
	encoder := json.NewEncoder(&body)
	for _, vm := range sorted {
		if err := encoder.Encode(vm); err != nil {
			return nil, eris.Wrap(err, "membership: encode list")
		}
	}
	return delta.NewDocument(body.Bytes()), nil
}

// decode reads what encode wrote.
func decode(body []byte) ([]provider.VM, error) {
	var vms []provider.VM
	decoder := json.NewDecoder(bytes.NewReader(body))
	for decoder.More() {
		var vm provider.VM
		if err := decoder.Decode(&vm); err != nil {
			return nil, eris.Wrap(err, "membership: decode list")
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

// pull takes the list of the process at address if it is newer.
func (w *Watcher) pull(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.Timing.CallTimeout)
	defer cancel()
	w.counts.Pulls.Add(1)
	if err := w.pullFrom(ctx, address); err != nil {
		w.counts.PullFailures.Add(1)
		return false
	}
	return true
}

func (w *Watcher) pullFrom(ctx context.Context, address string) error {
	now := w.current.Load()
	var args PullArgs
	if now != nil {
		args.Have = now.document.Recipe.Digest
	}
	// The age counts from before the call, so that a slow answer makes the
	// list older, never younger.
	start := w.cfg.Clock.Now()
	var reply PullReply
	if err := w.cfg.Caller.Call(ctx, address, MethodPull, args, &reply); err != nil {
		return err
	}
	if !reply.Known {
		return eris.New("membership: the peer has no list")
	}
	readAt := start.Add(-reply.Age)
	if now != nil && !readAt.After(now.readAt) {
		return nil
	}
	next := &listing{readAt: readAt}
	if reply.Same && now != nil {
		next.vms, next.document = now.vms, now.document
	} else if err := w.fetch(ctx, address, reply.Recipe, now, next); err != nil {
		return err
	}
	w.publish(next)
	return nil
}

// fetch fills in the list of a recipe from the one at hand and the missing
// chunks at address.
func (w *Watcher) fetch(ctx context.Context, address string, recipe delta.Recipe, now, next *listing) error {
	var base *delta.Document
	if now != nil {
		base = now.document
	}
	missing := base.Missing(recipe)
	var reply ChunksReply
	if len(missing) > 0 {
		args := ChunksArgs{Digest: recipe.Digest, Indexes: missing}
		if err := w.cfg.Caller.Call(ctx, address, MethodChunks, args, &reply); err != nil {
			return err
		}
	}
	if reply.Gone {
		return eris.New("membership: the peer no longer has the list")
	}
	body, err := base.Assemble(recipe, missing, reply.Chunks, maxListBytes)
	if err != nil {
		return err
	}
	next.document = delta.NewDocument(body)
	next.vms, err = decode(body)
	return err
}

// Service answers peers' questions for the list by net/rpc. Register it under
// ServiceName. Its methods never wait.
type Service struct {
	watcher *Watcher
}

// Service returns the RPC service of the watcher.
func (w *Watcher) Service() *Service { return &Service{watcher: w} }

// Pull returns the list's age, and its recipe when the peer has another.
func (s *Service) Pull(args PullArgs, reply *PullReply) error {
	now := s.watcher.current.Load()
	if now == nil {
		return nil
	}
	reply.Known = true
	reply.Age = s.watcher.cfg.Clock.Now().Sub(now.readAt)
	reply.Same = args.Have == now.document.Recipe.Digest
	if !reply.Same {
		reply.Recipe = now.document.Recipe
	}
	return nil
}

// Chunks returns chunks of a list that Pull named.
func (s *Service) Chunks(args ChunksArgs, reply *ChunksReply) error {
	now := s.watcher.current.Load()
	if now == nil || now.document.Recipe.Digest != args.Digest {
		reply.Gone = true
		return nil
	}
	chunks, ok := now.document.Chunks(args.Indexes)
	reply.Chunks, reply.Gone = chunks, !ok
	return nil
}
