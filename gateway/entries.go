package gateway

import "net"

// entriesMessage returns a message with entries of peerMessage.Known that are no addresses. The
// data centre stands last: gateways of earlier versions take the other entries for one, and
// keep the last.
func (p *Peers) entriesMessage(entries []string) peerMessage {
	return peerMessage{From: p.address, Known: append(entries, dataCentreMark+p.dataCentre)}
}

// sendEntries sends entries in as many messages as they need.
func (p *Peers) sendEntries(conn *net.UDPConn, targets, entries []string, limit int) {
	for _, some := range splitEntries(entries, limit) {
		p.send(conn, targets, p.entriesMessage(some))
	}
}

// entryLengthBytes is the size of the encoded length of an entry.
const entryLengthBytes = 3

// splitEntries divides entries into groups whose encoding takes at most limit bytes, if each
// entry does.
func splitEntries(entries []string, limit int) [][]string {
	var groups [][]string
	size := 0
	for _, entry := range entries {
		encoded := len(entry) + entryLengthBytes
		if size += encoded; len(groups) == 0 || size > limit {
			groups, size = append(groups, nil), encoded
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], entry)
	}
	return groups
}
