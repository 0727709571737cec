package gateway

import (
	"context"
	"net"
	"sort"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/routing"
)

// sendHints sends this gateway's load hints to live peers until the context ends:
// all of them in each round, and those that changed much within minSendInterval.
func (p *Peers) sendHints(ctx context.Context, conn *net.UDPConn) {
	round := time.NewTimer(p.hintInterval())
	defer round.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-round.C:
			p.sendHintsNow(conn, p.hints.CollectHints(p.clock.Now()))
			round.Reset(p.hintInterval())
		case <-p.hints.Changed():
			p.sendHintsNow(conn, p.hints.CollectChangedHints(p.clock.Now()))
			if !clock.Sleep(ctx, minSendInterval) {
				return
			}
		}
	}
}

// sendHintsNow sends load hints to live peers.
func (p *Peers) sendHintsNow(conn *net.UDPConn, hints []routing.Hint) {
	direct, relays := p.hintTargets()
	for _, batch := range splitHints(hints) {
		message := p.hintMessage(batch)
		p.send(conn, direct, message)
		message.Known = append(message.Known, relayMark)
		p.send(conn, relays, message)
	}
}

// hintTargets returns the peers to which the next load hints are sent: directly to
// those of the own data centre, and for each other data centre to one peer that
// relays them there, another one in each round. So each hint crosses the link to a
// data centre once, and a relay that does not work loses one round of hints for its
// data centre, as one lost datagram does. Peers whose data centre is not known get
// the hints directly.
func (p *Peers) hintTargets() (direct, relays []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	byDataCentre := make(map[string][]string)
	for address, r := range p.known {
		switch {
		case !r.live(now):
		case r.dataCentre == "" || r.dataCentre == p.dataCentre:
			direct = append(direct, address)
		default:
			byDataCentre[r.dataCentre] = append(byDataCentre[r.dataCentre], address)
		}
	}
	p.nextRelay++
	for _, addresses := range byDataCentre {
		if len(addresses) == 1 {
			direct = append(direct, addresses[0])
			continue
		}
		sort.Strings(addresses)
		relays = append(relays, addresses[p.nextRelay%len(addresses)])
	}
	return direct, relays
}

// hintInterval returns the interval between two rounds of load hints. It grows
// with the number of gateways to limit the messages of each of them.
func (p *Peers) hintInterval() time.Duration {
	return hintIntervalFor(p.LiveCount())
}

func hintIntervalFor(gateways int) time.Duration {
	return minHintInterval * time.Duration(1+gateways/gatewaysPerHintInterval)
}

// splitHints divides load hints into batches that each fit into a datagram.
func splitHints(hints []routing.Hint) [][]routing.Hint {
	var batches [][]routing.Hint
	size, from := 0, 0
	for i := range hints {
		hintSize := hintOverheadBytes + len(hints[i].Server)
		if entry := speedEntry(&hints[i]); entry != "" {
			hintSize += entryLengthBytes + len(entry)
		}
		for _, segment := range hints[i].Segments {
			hintSize += segmentOverheadBytes + len(segment.ID)
		}
		if size += hintSize; size > maxHintBytes && i > from {
			batches = append(batches, hints[from:i])
			size, from = hintSize, i
		}
	}
	if from < len(hints) {
		batches = append(batches, hints[from:])
	}
	return batches
}
