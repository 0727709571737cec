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

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// NewPool returns a pool without connections; they are made by calls.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, links: map[string]*link{}}
}

// Traffic returns the counters of bytes on dialled connections.
func (p *Pool) Traffic() *Traffic { return &p.traffic }

// Call carries out one call and waits for its answer until the context ends.
// After an error the reply is untouched. NotSent tells whether the peer can
// have seen the call; an error of the peer's method is an rpc.ServerError.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	l, err := p.link(address)
	if err != nil {
		return err
	}
	l.begin()
	defer l.end()
	client, err := l.client(ctx)
	if err != nil {
		return err
	}
	fresh := reflect.New(reflect.TypeOf(reply).Elem())
	call := &rpc.Call{ServiceMethod: method, Args: args, Reply: fresh.Interface(), Done: make(chan *rpc.Call, 1)}
	if !client.sends.Push(call) {
		return eris.Wrapf(ErrNotSent, "%s takes no more calls", address)
	}
	select {
	case call = <-call.Done:
	case <-ctx.Done():
		return eris.Wrapf(ctx.Err(), "peer: %s at %s", method, address)
	}
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(fresh.Elem())
		return nil
	}
	var remote rpc.ServerError
	if errors.As(call.Error, &remote) {
		return call.Error
	}
	// net/rpc reports rpc.ErrShutdown also for calls that were sent, so no
	// error of the connection proves that the peer has not seen the call.
	l.drop(client)
	return eris.Wrap(ErrConnectionLost, call.Error.Error())
}

// Disconnect closes the connection to an address, if there is one.
func (p *Pool) Disconnect(address string) {
	p.mu.Lock()
	l := p.links[address]
	delete(p.links, address)
	p.mu.Unlock()
	if l != nil {
		l.close()
	}
}

// Close ends all connections; later calls fail as not sent.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	links := p.links
	p.links = map[string]*link{}
	p.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

func (p *Pool) link(address string) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, eris.Wrap(ErrNotSent, "pool is closed")
	}
	l, ok := p.links[address]
	if !ok {
		l = &link{pool: p, address: address, turn: make(chan struct{}, 1)}
		p.links[address] = l
	}
	return l, nil
}

// link is the connection to one address, made again when it broke.
type link struct {
	pool    *Pool
	address string
	// turn holds a token while somebody dials.
	turn chan struct{}

	mu       sync.Mutex
	rpc      *wire
	stop     chan struct{}
	failedAt time.Time
	// calls is the number of calls under way; usedAt is when the last ended.
	calls  int
	usedAt time.Time
}

func (l *link) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
}

func (l *link) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls--
	l.usedAt = time.Now()
}

// retire closes the connection when it was not used for a long time.
func (l *link) retire(client *wire) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	timeout := l.pool.cfg.IdleTimeout
	if timeout <= 0 || l.calls > 0 || l.rpc != client || time.Since(l.usedAt) < timeout {
		return false
	}
	l.rpc = nil
	client.end()
	return true
}

// present returns the open connection, if there is one.
func (l *link) present() (*wire, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rpc != nil {
		return l.rpc, nil
	}
	if time.Since(l.failedAt) < l.pool.cfg.RedialDelay {
		return nil, eris.Wrapf(ErrNotSent, "%s did not answer a moment ago", l.address)
	}
	return nil, nil
}

func (l *link) client(ctx context.Context) (*wire, error) {
	client, err := l.present()
	if client != nil || err != nil {
		return client, err
	}
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, eris.Wrapf(ErrNotSent, "%s: %v", l.address, ctx.Err())
	}
	defer func() { <-l.turn }()
	client, err = l.present()
	if client != nil || err != nil {
		return client, err
	}
	return l.dial()
}

// dial connects and waits for the first heartbeat, so that a peer which
// accepts connections and never answers is found before a call is sent.
func (l *link) dial() (*wire, error) {
	cfg := l.pool.cfg
	raw, err := net.DialTimeout("tcp", l.address, cfg.DialTimeout)
	if err != nil {
		l.failed()
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	c := newConn(raw, cfg, &l.pool.traffic)
	client := newWire(c)
	if err := ping(client, cfg.DialTimeout); err != nil {
		client.end()
		l.failed()
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	stop := make(chan struct{})
	l.mu.Lock()
	l.rpc, l.stop = client, stop
	l.mu.Unlock()
	go l.heartbeat(c, client, stop)
	return client, nil
}

func (l *link) failed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failedAt = time.Now()
}

// heartbeat keeps bytes going both ways on a connection that works and drops
// one that does not. Calls and answers make a heartbeat superfluous.
func (l *link) heartbeat(c *conn, client *wire, stop chan struct{}) {
	interval := l.pool.cfg.HeartbeatInterval
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-timer.C:
		}
		if l.retire(client) {
			return
		}
		if quiet := c.quietFor(); quiet < interval {
			timer.Reset(interval - quiet)
			continue
		}
		if err := ping(client, l.pool.cfg.ReadTimeout); err != nil {
			l.drop(client)
			return
		}
		timer.Reset(interval)
	}
}

func (l *link) drop(client *wire) {
	client.end()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rpc == client {
		l.rpc = nil
	}
}

func (l *link) close() {
	l.mu.Lock()
	client, stop := l.rpc, l.stop
	l.rpc, l.stop = nil, nil
	l.mu.Unlock()
	if client == nil {
		return
	}
	close(stop)
	client.end()
}

func ping(client *wire, timeout time.Duration) error {
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
