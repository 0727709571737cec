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

// encode encodes a list. The result does not depend on the order of the VMs, so that
// equal lists have equal digests.
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

// decode decodes a list that encode encoded.
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

// pull applies the list of the process at address if that list is newer. It returns
// false when the process does not respond, has no list, or the list cannot be fetched.
func (u *Updater) pull(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, u.cfg.Timing.CallTimeout)
	defer cancel()
	u.counts.Pulls.Add(1)
	if err := u.pullFrom(ctx, address); err != nil {
		u.counts.PullFailures.Add(1)
		return false
	}
	return true
}

func (u *Updater) pullFrom(ctx context.Context, address string) error {
	list := u.current.Load()
	var args PullArgs
	if list != nil {
		args.Have = list.document.Recipe.Digest
	}
	// The age is subtracted from the time before the call, so that a slow reply
	// makes the list appear older, never newer.
	start := u.cfg.Clock.Now()
	var reply PullReply
	if err := u.cfg.Peers.Call(ctx, address, MethodPull, args, &reply); err != nil {
		return err
	}
	if !reply.Known {
		return eris.New("membership: peer has no list")
	}
	readAt := start.Add(-reply.Age)
	if list != nil && !readAt.After(list.readAt) {
		return nil
	}
	next := &vmList{readAt: readAt}
	if reply.Same && list != nil {
		next.vms, next.document = list.vms, list.document
	} else if err := u.fetchList(ctx, address, reply.Recipe, list, next); err != nil {
		return err
	}
	u.publish(next)
	return nil
}

// fetchList builds the list of a recipe from the current list and the missing
// chunks fetched from address, and stores it in next.
func (u *Updater) fetchList(ctx context.Context, address string, recipe delta.Recipe, list, next *vmList) error {
	var base *delta.Document
	if list != nil {
		base = list.document
	}
	missing := base.Missing(recipe)
	var reply ChunksReply
	if len(missing) > 0 {
		args := ChunksArgs{Digest: recipe.Digest, Indexes: missing}
		if err := u.cfg.Peers.Call(ctx, address, MethodChunks, args, &reply); err != nil {
			return err
		}
	}
	if reply.Gone {
		return eris.New("membership: peer no longer has the list")
	}
	body, err := base.Assemble(recipe, missing, reply.Chunks, maxListBytes)
	if err != nil {
		return err
	}
	next.document = delta.NewDocument(body)
	next.vms, err = decode(body)
	return err
}

// RPCService serves the list of VMs to peers by net/rpc. Register it under
// ServiceName. Its methods do not block.
type RPCService struct {
	updater *Updater
}

// RPCService returns the RPC service of the updater.
func (u *Updater) RPCService() *RPCService { return &RPCService{updater: u} }

// Pull returns the age of the list, and its recipe when the peer has another list.
func (s *RPCService) Pull(args PullArgs, reply *PullReply) error {
	list := s.updater.current.Load()
	if list == nil {
		return nil
	}
	reply.Known = true
	reply.Age = s.updater.cfg.Clock.Now().Sub(list.readAt)
	reply.Same = args.Have == list.document.Recipe.Digest
	if !reply.Same {
		reply.Recipe = list.document.Recipe
	}
	return nil
}

// Chunks returns chunks of a list whose recipe Pull returned.
func (s *RPCService) Chunks(args ChunksArgs, reply *ChunksReply) error {
	list := s.updater.current.Load()
	if list == nil || list.document.Recipe.Digest != args.Digest {
		reply.Gone = true
		return nil
	}
	chunks, ok := list.document.Chunks(args.Indexes)
	reply.Chunks, reply.Gone = chunks, !ok
	return nil
}
