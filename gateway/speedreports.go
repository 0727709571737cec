package gateway

import (
	"strconv"
	"strings"

	"github.com/sesameswitch/sesameswitch/routing"
)

// speedMark begins an entry of peerMessage.Known with what the sender has observed of the
// speed of a server for which the message has a load hint. A hint itself must not get more
// fields: gateways of earlier versions cannot decode it then.
const speedMark = dataCentreMark + "speed="

// speedEntry returns the entry of a load hint, or an empty string if it has none.
func speedEntry(h *routing.Hint) string {
	if h.Speed == nil {
		return ""
	}
	var b strings.Builder
	b.WriteString(speedMark)
	for _, n := range []int{h.Speed.Slowness, h.Speed.Stated, h.Speed.Weight, h.Speed.StatedPercent, h.Speed.StatedAgeMs} {
		b.WriteString(strconv.Itoa(n) + "/")
	}
	b.WriteString(strconv.FormatInt(h.Speed.StartedAtMs, 10) + "/" + h.Server)
	return b.String()
}

// hintMessage returns a message with load hints. The data centre stands behind the entries
// about speeds: gateways of earlier versions take each of them for one, and keep the last.
func (p *Peers) hintMessage(hints []routing.Hint) peerMessage {
	message := peerMessage{From: p.address, Hints: hints}
	for i := range hints {
		if entry := speedEntry(&hints[i]); entry != "" {
			message.Known = append(message.Known, entry)
		}
	}
	message.Known = append(message.Known, dataCentreMark+p.dataCentre)
	return message
}

// attachSpeeds adds the entries about speeds of a message to its load hints. Entries that
// are not valid, or without a load hint, are ignored.
func attachSpeeds(message peerMessage) {
	for _, entry := range message.Known {
		text, isSpeed := strings.CutPrefix(entry, speedMark)
		if !isSpeed {
			continue
		}
		server, speed, valid := parseSpeed(text)
		for i := range message.Hints {
			if valid && message.Hints[i].Server == server {
				message.Hints[i].Speed = speed
			}
		}
	}
}

// parseSpeed parses "SLOWNESS/STATED/WEIGHT/PERCENT/AGE/STARTED/ID".
func parseSpeed(text string) (server string, speed *routing.SpeedHint, valid bool) {
	const numbers = 6
	parts := strings.SplitN(text, "/", numbers+1)
	if len(parts) <= numbers || parts[numbers] == "" {
		return "", nil, false
	}
	var values [numbers]int64
	for i := range values {
		value, err := strconv.ParseInt(parts[i], 10, 64)
		if err != nil {
			return "", nil, false
		}
		values[i] = value
	}
	return parts[numbers], &routing.SpeedHint{
		Slowness: int(values[0]), Stated: int(values[1]), Weight: int(values[2]),
		StatedPercent: int(values[3]), StatedAgeMs: int(values[4]), StartedAtMs: values[5],
	}, true
}
