// Package memnet is an in-memory network of simulated processes in one program,
// for tests and measurements. Calls use net/rpc and gob, but no sockets.
//
// A call runs in the goroutine that makes it, so the order of calls of a program
// with one goroutine is deterministic. Links can be partitioned in one direction,
// and processes stopped, at any time.
package memnet

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net/rpc"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ErrUnreachable is returned when no process listens at the address, or when a
// partition drops the call or its reply. A call whose reply is dropped has run.
var ErrUnreachable = eris.New("memnet: process unreachable")

// link is one direction of the connection between two addresses.
type link struct{ from, to string }

// Network connects processes by address. It is safe for concurrent use.
type Network struct {
	mu          sync.RWMutex
	servers     map[string]*rpc.Server
	partitioned map[link]bool
	calls       atomic.Uint64
}

// New returns an empty network.
func New() *Network {
	return &Network{servers: map[string]*rpc.Server{}, partitioned: map[link]bool{}}
}

// Calls returns how many calls the network has delivered to its processes.
func (n *Network) Calls() uint64 { return n.calls.Load() }

// Listen starts a process at an address, with its services by name. It replaces
// a process that already listens there.
func (n *Network) Listen(address string, services map[string]any) error {
	server := rpc.NewServer()
	for name, receiver := range services {
		if err := server.RegisterName(name, receiver); err != nil {
			return eris.Wrapf(err, "memnet: register %s", name)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[address] = server
	return nil
}

// Stop removes the process at an address.
func (n *Network) Stop(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, address)
}

// Partition drops all messages from one address to another until Heal: calls in
// that direction, and replies to calls in the opposite direction.
func (n *Network) Partition(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[link{from, to}] = true
}

// Heal ends all partitions.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.partitioned)
}

// From returns a PeerCaller that makes calls from the address.
func (n *Network) From(address string) *PeerCaller {
	return &PeerCaller{network: n, address: address}
}

// PeerCaller makes calls from one address of the network.
type PeerCaller struct {
	network *Network
	address string
}

// Call makes one call. The context is checked only before the call.
func (c *PeerCaller) Call(ctx context.Context, address, method string, args, reply any) error {
	if err := ctx.Err(); err != nil {
		return eris.Wrap(err, "memnet: context ended")
	}
	c.network.mu.RLock()
	server := c.network.servers[address]
	callLost := c.network.partitioned[link{c.address, address}]
	replyLost := c.network.partitioned[link{address, c.address}]
	c.network.mu.RUnlock()
	if server == nil || callLost {
		return eris.Wrap(ErrUnreachable, address)
	}
	c.network.calls.Add(1)
	codec := &callCodec{method: method}
	if err := gob.NewEncoder(&codec.request).Encode(args); err != nil {
		return eris.Wrap(err, "memnet: encode arguments")
	}
	if err := server.ServeRequest(codec); err != nil {
		return eris.Wrap(err, "memnet: serve call")
	}
	if replyLost {
		return eris.Wrap(ErrUnreachable, address)
	}
	if codec.failure != "" {
		return rpc.ServerError(codec.failure)
	}
	return eris.Wrap(gob.NewDecoder(&codec.response).Decode(reply), "memnet: decode reply")
}

// callCodec is the server codec of one call.
type callCodec struct {
	method   string
	failure  string
	request  bytes.Buffer
	response bytes.Buffer
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *callCodec) ReadRequestHeader(r *rpc.Request) error {
	r.ServiceMethod = c.method
	return nil
}

// ReadRequestBody decodes the arguments into body. A nil body means that the
// server discards them.
func (c *callCodec) ReadRequestBody(body any) error {
	if body == nil {
		return nil
	}
	err := gob.NewDecoder(&c.request).Decode(body)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// WriteResponse encodes the reply.
func (c *callCodec) WriteResponse(r *rpc.Response, body any) error {
	if r.Error != "" {
		c.failure = r.Error
		return nil
	}
	return gob.NewEncoder(&c.response).Encode(body)
}

// Close does nothing, since a call holds no connection open.
func (c *callCodec) Close() error { return nil }
