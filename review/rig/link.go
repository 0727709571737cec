//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// link is a TCP proxy. Silence lets the connections that are open go silent for good, without a
// reset; new ones work.
type link struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	// open holds the gates of the open connections.
	open map[*gate]struct{}
}

// gate passes bytes on until it is shut; what arrives then is discarded.
type gate struct {
	mu   sync.Mutex
	shut bool
}

func newLink(address, target string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, open: make(map[*gate]struct{})}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		t, err := net.Dial("tcp", k.target)
		if err != nil {
			c.Close()
			continue
		}
		g := &gate{}
		k.mu.Lock()
		k.open[g] = struct{}{}
		k.mu.Unlock()
		go k.pass(g, c, t)
		go k.pass(g, t, c)
	}
}

// pass copies one direction. A shut gate drops bytes and the end of the connection.
func (k *link) pass(g *gate, from, to net.Conn) {
	defer func() {
		k.mu.Lock()
		delete(k.open, g)
		k.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		g.mu.Lock()
		shut := g.shut
		if n > 0 && !shut {
			_, _ = to.Write(buf[:n])
		}
		g.mu.Unlock()
		if err != nil {
			if !shut || err != io.EOF {
				to.Close()
			}
			from.Close()
			return
		}
	}
}

// silence shuts all open connections, and returns their number.
func (k *link) silence() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for g := range k.open {
		g.mu.Lock()
		g.shut = true
		g.mu.Unlock()
		n++
	}
	return n
}
