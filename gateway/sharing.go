package gateway

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// shareHold is how long a silent gateway still counts as using its share of the
	// limits that all gateways share. It may be partitioned rather than stopped;
	// partitions last minutes.
	shareHold = 10 * time.Minute
	// maxSharing limits the remembered gateways, and the number that a peer reports.
	maxSharing = 4 * maxPeers
)

// sharingRecord is what is remembered of a gateway that shares limits.
type sharingRecord struct {
	lastMessage time.Time
	// reported is the number of gateways in its last hello; zero if it sent none.
	reported int
}

// countEntry returns the entry of Known that tells how many gateways share limits.
// It stands before the data centre: gateways of earlier versions take it for one, and
// keep the last.
func countEntry(gateways int) string { return countMark + strconv.Itoa(gateways) }

// gatewayCount returns how many gateways the sender knows that share limits with it,
// itself included, without what others reported to it; zero if the message does not state it,
// or no positive number. It is at most maxSharing.
func (m *peerMessage) gatewayCount() int {
	for _, entry := range m.Known {
		if text, isCount := strings.CutPrefix(entry, countMark); isCount {
			count, err := strconv.ParseUint(text, 10, 63)
			if err != nil {
				return 0
			}
			return int(min(count, maxSharing)) //nolint:gosec // bounded
		}
	}
	return 0
}

// Sharing implements SharingCounter.
func (p *Peers) Sharing() (gateways int, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hasOtherSeed := slices.ContainsFunc(p.seeds, func(seed string) bool { return seed != p.address })
	known = len(p.sharing) > 0 || !hasOtherSeed
	gateways = p.ownCount()
	for _, r := range p.sharing {
		gateways = max(gateways, r.reported)
	}
	if !known || p.clock.Now().Sub(p.startedAt) < discoveryTime {
		gateways = max(gateways, assumedGateways)
	}
	return gateways, known
}

// ownCount returns how many gateways this one knows that share limits with it, itself
// included: those that have sent a message within shareHold, and the seeds, which may
// be gateways that it has never reached. The caller holds mu.
func (p *Peers) ownCount() int {
	count := 1 + len(p.sharing)
	for _, seed := range p.seeds {
		if _, heard := p.sharing[seed]; !heard && seed != p.address {
			count++
		}
	}
	return count
}

// Position implements SharingCounter. Gateways whose address is not known are assumed to
// be spread evenly over the order.
func (p *Peers) Position(key string) (position, gateways int) {
	gateways, _ = p.Sharing()
	p.mu.Lock()
	defer p.mu.Unlock()
	own, listed := orderOf(key, p.address), 1
	for address := range p.sharing {
		listed++
		if orderOf(key, address) < own {
			position++
		}
	}
	for _, seed := range p.seeds {
		if _, heard := p.sharing[seed]; !heard && seed != p.address {
			listed++
			if orderOf(key, seed) < own {
				position++
			}
		}
	}
	return position * max(gateways, listed) / listed, gateways
}

// orderOf returns the place of a gateway in the order of a key.
func orderOf(key, address string) uint64 { return xxhash.Sum64String(key + " " + address) }

// recordSharing remembers the sender of a message. The caller holds mu.
func (p *Peers) recordSharing(now time.Time, message peerMessage) {
	r, known := p.sharing[message.From]
	if !known && len(p.sharing) >= maxSharing {
		return
	}
	r.lastMessage = now
	if count := message.gatewayCount(); count > 0 {
		r.reported = count
	}
	p.sharing[message.From] = r
}

// forgetSharing forgets the gateways that were silent for shareHold. The caller holds
// mu.
func (p *Peers) forgetSharing(now time.Time) {
	for address, r := range p.sharing {
		if now.Sub(r.lastMessage) >= shareHold {
			delete(p.sharing, address)
		}
	}
}
