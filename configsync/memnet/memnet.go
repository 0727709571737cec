// Package memnet joins many processes of the library in one program, for
// tests and measurements: calls go through net/rpc and gob, without sockets.
//
// A call runs in the caller's goroutine, so a program that uses one goroutine
// sees the same order of calls on every run. Links can be cut in one direction
// and processes taken down at any time.
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

// ErrUnreachable says that no process answers at the address now.
var ErrUnreachable = eris.New("memnet: no answer")

// link is one direction between two addresses.
type link struct{ from, to string }

// Network joins processes by address. It is safe for concurrent use.
type Network struct {
	mu          sync.RWMutex
	servers     map[string]*rpc.Server
	partitioned map[link]bool
	calls       atomic.Uint64
}

// New returns a network without processes.
func New() *Network {
	return &Network{servers: map[string]*rpc.Server{}, partitioned: map[link]bool{}}
}

// Calls returns how many calls were delivered.
func (n *Network) Calls() uint64 { return n.calls.Load() }

// Listen starts a process at an address with the services given by name,
// replacing the one there.
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

// Stop takes the process at an address away.
func (n *Network) Stop(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.servers, address)
}

// Partition loses calls from one address to another until Heal, and their answers.
func (n *Network) Partition(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[link{from, to}] = true
}

// Heal mends all links.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.partitioned)
}

// From returns a caller whose calls come from the address.
func (n *Network) From(address string) *Caller {
	return &Caller{network: n, address: address}
}

// Caller calls processes of the network.
type Caller struct {
	network *Network
	address string
}

// Call carries out one call. The context is only looked at beforehand.
func (c *Caller) Call(ctx context.Context, address, method string, args, reply any) error {
	if err := ctx.Err(); err != nil {
		return eris.Wrap(err, "memnet")
	}
	c.network.mu.RLock()
	server := c.network.servers[address]
	there := c.network.partitioned[link{c.address, address}]
	back := c.network.partitioned[link{address, c.address}]
	c.network.mu.RUnlock()
	if server == nil || there {
		return eris.Wrap(ErrUnreachable, address)
	}
	c.network.calls.Add(1)
	exchange := &callCodec{method: method}
	if err := gob.NewEncoder(&exchange.request).Encode(args); err != nil {
		return eris.Wrap(err, "memnet: encode")
	}
	if err := server.ServeRequest(exchange); err != nil {
		return eris.Wrap(err, "memnet: serve")
	}
	if back {
		return eris.Wrap(ErrUnreachable, address)
	}
	if exchange.failure != "" {
		return rpc.ServerError(exchange.failure)
	}
	return eris.Wrap(gob.NewDecoder(&exchange.response).Decode(reply), "memnet: decode")
}

// callCodec is the server's codec of one call.
type callCodec struct {
	method   string
	failure  string
	request  bytes.Buffer
	response bytes.Buffer
}

// ReadRequestHeader names the method.
func (e *callCodec) ReadRequestHeader(r *rpc.Request) error {
	r.ServiceMethod = e.method
	return nil
}

// ReadRequestBody decodes the arguments; nil means that the server does not
// want them.
func (e *callCodec) ReadRequestBody(body any) error {
	if body == nil {
		return nil
	}
	err := gob.NewDecoder(&e.request).Decode(body)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// WriteResponse encodes the reply.
func (e *callCodec) WriteResponse(r *rpc.Response, body any) error {
	if r.Error != "" {
		e.failure = r.Error
		return nil
	}
	return gob.NewEncoder(&e.response).Encode(body)
}

// Close does nothing; an exchange holds nothing open.
func (e *callCodec) Close() error { return nil }
