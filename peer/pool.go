package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Pool calls peers over one connection for each address. It is safe for
// concurrent use.
type Pool struct {
	cfg     Config
	traffic Traffic

	mu        sync.Mutex
	endpoints map[string]*endpoint
	closed    bool
}

// NewPool returns a pool without connections; calls open them.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, endpoints: map[string]*endpoint{}}
}

// Traffic returns the counters of bytes on dialled connections.
func (p *Pool) Traffic() *Traffic { return &p.traffic }

// Call calls a method of a peer and waits for the reply until the context ends.
// It writes to reply only when it succeeds. NotSent reports whether the call
// certainly did not reach the peer; an error returned by the peer's method is
// an rpc.ServerError.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	e, err := p.endpoint(address)
	if err != nil {
		return err
	}
	e.beginCall()
	defer e.endCall()
	client, err := e.connect(ctx)
	if err != nil {
		return err
	}
	received := reflect.New(reflect.TypeOf(reply).Elem())
	call := &rpc.Call{ServiceMethod: method, Args: args, Reply: received.Interface(), Done: make(chan *rpc.Call, 1)}
	if !client.sendQueue.Push(call) {
		return eris.Wrapf(ErrNotSent, "%s: send queue is full or closed", address)
	}
	select {
	case call = <-call.Done:
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "peer: %s at %s", method, address)
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(received.Elem())
		return nil
	}
	var serverErr rpc.ServerError
	if errors.As(call.Error, &serverErr) {
		return call.Error
	}
	// net/rpc returns rpc.ErrShutdown also for calls that were sent, so no
	// connection error proves that the peer did not receive the call.
	e.discard(client)
	return eris.Wrap(ErrConnectionLost, call.Error.Error())
}

// Disconnect closes the connection to an address, if there is one.
func (p *Pool) Disconnect(address string) {
	p.mu.Lock()
	e := p.endpoints[address]
	delete(p.endpoints, address)
	p.mu.Unlock()
	if e != nil {
		e.close()
	}
}

// Close closes all connections; later calls fail as not sent.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	endpoints := p.endpoints
	p.endpoints = map[string]*endpoint{}
	p.mu.Unlock()
	for _, e := range endpoints {
		e.close()
	}
}

// endpoint returns the endpoint of an address and creates it if necessary.
func (p *Pool) endpoint(address string) (*endpoint, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, eris.Wrap(ErrNotSent, "pool is closed")
	}
	e, ok := p.endpoints[address]
	if !ok {
		e = &endpoint{pool: p, address: address, dialToken: make(chan struct{}, 1)}
		p.endpoints[address] = e
	}
	return e, nil
}

// endpoint holds the connection to one address, which calls open when
// necessary.
type endpoint struct {
	pool    *Pool
	address string
	// dialToken contains a token while a goroutine dials.
	dialToken chan struct{}

	mu sync.Mutex
	// current is the open connection, nil if there is none.
	current *rpcClient
	// stopHeartbeats, when closed, ends the heartbeats on current.
	stopHeartbeats chan struct{}
	dialFailedAt   time.Time
	// activeCalls counts the calls in progress; lastUsedAt is when the last
	// call ended.
	activeCalls int
	lastUsedAt  time.Time
}

func (e *endpoint) beginCall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeCalls++
}

func (e *endpoint) endCall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeCalls--
	e.lastUsedAt = time.Now()
}

// closeIfIdle closes the connection if it had no call for the idle timeout. It
// reports whether it closed the connection.
func (e *endpoint) closeIfIdle(client *rpcClient) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	timeout := e.pool.cfg.IdleTimeout
	if timeout <= 0 || e.activeCalls > 0 || e.current != client || time.Since(e.lastUsedAt) < timeout {
		return false
	}
	e.current = nil
	client.shutdown()
	return true
}

// openClient returns the open connection, or nil if there is none. It returns
// an error during the redial delay after a failed dial.
func (e *endpoint) openClient() (*rpcClient, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != nil {
		return e.current, nil
	}
	if time.Since(e.dialFailedAt) < e.pool.cfg.RedialDelay {
		return nil, eris.Wrapf(ErrNotSent, "%s: the last dial failed less than the redial delay ago", e.address)
	}
	return nil, nil
}

// connect returns the open connection and dials if there is none. One goroutine
// dials at a time.
func (e *endpoint) connect(ctx context.Context) (*rpcClient, error) {
	client, err := e.openClient()
	if client != nil || err != nil {
		return client, err
	}
	select {
	case e.dialToken <- struct{}{}:
	case <-ctx.Done():
		return nil, eris.Wrapf(ErrNotSent, "%s: %v", e.address, ctx.Err())
	}
	defer func() { <-e.dialToken }()
	client, err = e.openClient()
	if client != nil || err != nil {
		return client, err
	}
	return e.dial()
}

// dial connects and waits for the first heartbeat, so that a peer that accepts
// connections but never replies is detected before a call is sent.
func (e *endpoint) dial() (*rpcClient, error) {
	cfg := e.pool.cfg
	raw, err := net.DialTimeout("tcp", e.address, cfg.DialTimeout)
	if err != nil {
		e.recordDialFailure()
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	c := newConn(raw, cfg, &e.pool.traffic)
	client := newRPCClient(c)
	if err := ping(client, cfg.DialTimeout); err != nil {
		client.shutdown()
		e.recordDialFailure()
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	stop := make(chan struct{})
	e.mu.Lock()
	e.current, e.stopHeartbeats = client, stop
	e.mu.Unlock()
	go e.sendHeartbeats(c, client, stop)
	return client, nil
}

func (e *endpoint) recordDialFailure() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dialFailedAt = time.Now()
}

// sendHeartbeats sends a heartbeat whenever nothing was read or nothing was
// written for the heartbeat interval. It closes the connection and returns when
// the connection is idle or a heartbeat fails; it also returns when stop is
// closed.
func (e *endpoint) sendHeartbeats(c *conn, client *rpcClient, stop chan struct{}) {
	interval := e.pool.cfg.HeartbeatInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-timer.C:
		}
		if e.closeIfIdle(client) {
			return
		}
		if silent := c.silentFor(); silent < interval {
			timer.Reset(interval - silent)
			continue
		}
		if err := ping(client, e.pool.cfg.ReadTimeout); err != nil {
			e.discard(client)
			return
		}
		timer.Reset(interval)
	}
}

// discard closes a connection that failed, so that the next call dials again.
func (e *endpoint) discard(client *rpcClient) {
	client.shutdown()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == client {
		e.current = nil
	}
}

func (e *endpoint) close() {
	e.mu.Lock()
	client, stop := e.current, e.stopHeartbeats
	e.current, e.stopHeartbeats = nil, nil
	e.mu.Unlock()
	if client == nil {
		return
	}
	close(stop)
	client.shutdown()
}

func ping(client *rpcClient, timeout time.Duration) error {
	call := client.Go(pingMethod, PingArgs{}, &PingReply{}, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		return call.Error
	case <-timer.C:
		return eris.New("peer: heartbeat timed out")
	}
}
