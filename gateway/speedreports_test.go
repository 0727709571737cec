package gateway

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/deployment"
	"github.com/sesameswitch/sesameswitch/routing"
)

// recordedHints keeps the load hints that were applied.
type recordedHints struct {
	LoadHints
	applied []routing.Hint
}

func (r *recordedHints) ApplyHints(_, _ time.Time, _ string, hints []routing.Hint) {
	r.applied = append(r.applied, hints...)
}

// TestSpeedHintsBetweenVersions guards against gateways of the previous version, which cannot
// decode a hint with more fields and keep the last entry that is no address as the data centre
// of the sender, and against hints of theirs, which have no speed.
func TestSpeedHintsBetweenVersions(t *testing.T) {
	speed := &routing.SpeedHint{StartedAtMs: 7, Slowness: -700, Stated: 900, Weight: 2_500, StatedPercent: 250, StatedAgeMs: 12}
	with, without := routing.Hint{Server: "a/b@c", InFlight: 1, Speed: speed}, routing.Hint{Server: "a/b@c", InFlight: 1}
	encoded := [2][]byte{}
	for i, h := range []routing.Hint{with, without} {
		content, err := msgpack.Marshal(&h)
		if err != nil {
			t.Fatal(err)
		}
		encoded[i] = content
	}
	if string(encoded[0]) != string(encoded[1]) {
		t.Errorf("a hint with a speed is encoded as %x, want %x as in the previous version", encoded[0], encoded[1])
	}
	recorded := &recordedHints{}
	sender := NewPeers(&deployment.Settings{PeerAddress: "10.0.0.2:80", DataCentre: "b"}, nil, clock.NewManual(epoch), discardLog())
	receiver := NewPeers(&deployment.Settings{PeerAddress: "10.0.0.1:80", DataCentre: "a"}, recorded, clock.NewManual(epoch), discardLog())
	message := sender.hintMessage([]routing.Hint{with})
	if last := message.Known[len(message.Known)-1]; last != "@b" {
		t.Errorf("the last entry is %q, want the data centre", last)
	}
	for _, test := range []struct {
		name  string
		known []string
		want  *routing.SpeedHint
	}{
		{"this version", message.Known, speed},
		{"previous version", []string{"@b"}, nil},
		{"no numbers", []string{"@speed=a/b/c/d/e/f/a/b@c", "@b"}, nil},
		{"too few numbers", []string{"@speed=1/2/a/b@c", "@b"}, nil},
		{"out of range", []string{"@speed=1/2/3/4/5/99999999999999999999/a/b@c", "@b"}, nil},
		{"other server", []string{"@speed=1/2/3/4/5/6/d", "@b"}, nil},
	} {
		recorded.applied = nil
		receiver.handleMessage(peerMessage{From: "10.0.0.2:80", Known: test.known, Hints: []routing.Hint{without}})
		if len(recorded.applied) != 1 || !reflect.DeepEqual(recorded.applied[0].Speed, test.want) {
			t.Errorf("%s: got hints %+v, want one with speed %+v", test.name, recorded.applied, test.want)
		}
		if dc := receiver.known["10.0.0.2:80"].dataCentre; dc != "b" {
			t.Errorf("%s: the data centre of the sender is %q, want b", test.name, dc)
		}
	}
}

// TestSpeedHintsFitDatagrams checks that load hints with speeds are divided into messages of at
// most maxDatagramBytes.
func TestSpeedHintsFitDatagrams(t *testing.T) {
	p := NewPeers(&deployment.Settings{PeerAddress: "10.100.200.255:65535", DataCentre: strings.Repeat("d", 20)}, nil, clock.NewManual(epoch), discardLog())
	hints := make([]routing.Hint, 100)
	for i := range hints {
		hints[i] = routing.Hint{
			Server: fmt.Sprintf("i-%010d", i), InFlight: 60, UnsharedTokens: 500_000, PendingPrefill: 400_000, LatencySensitive: 50, KVCacheTokens: 567_590,
			Speed: &routing.SpeedHint{StartedAtMs: 1_800_000_000_000, Slowness: -59_999, Stated: 59_999, Weight: 59_999, StatedPercent: 1_000, StatedAgeMs: 600},
		}
	}
	total := 0
	for _, batch := range splitHints(hints) {
		total += len(batch)
		message := p.hintMessage(batch)
		message.Known = append(message.Known, relayMark)
		if content, err := msgpack.Marshal(&message); err != nil || len(content) > maxDatagramBytes {
			t.Errorf("%d hints take %d bytes, want at most maxDatagramBytes: %v", len(batch), len(content), err)
		}
	}
	if total != len(hints) {
		t.Errorf("batches hold %d of %d hints, want all", total, len(hints))
	}
}
