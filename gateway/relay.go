package gateway

import (
	"net"
	"slices"
)

// relay sends a message with load hints to the other live peers of the own data
// centre, if its sender is in another one and asked for it.
func (p *Peers) relay(conn *net.UDPConn, message peerMessage) {
	if targets := p.relayTargets(message); len(targets) > 0 {
		message.Known = slices.DeleteFunc(message.Known, func(entry string) bool { return entry == relayMark })
		p.send(conn, targets, message)
	}
}

// relayTargets returns the peers to which a message is relayed.
func (p *Peers) relayTargets(message peerMessage) []string {
	if len(message.Hints) == 0 || !slices.Contains(message.Known, relayMark) || slices.Contains(message.Known, dataCentreMark+p.dataCentre) {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var targets []string
	for address, r := range p.known {
		if address != message.From && r.live(now) && r.dataCentre == p.dataCentre {
			targets = append(targets, address)
		}
	}
	return targets
}
