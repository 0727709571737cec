package peer

import (
	"bytes"
	"encoding/gob"
	"errors"
	"net"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/membudget"
)

// TestFramesFollowMessages checks the lengths of random streams of gob, in random pieces.
func TestFramesFollowMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream bytes.Buffer
		encoder := gob.NewEncoder(&stream)
		values := rapid.SliceOfN(rapid.IntRange(0, 70_000), 1, 10).Draw(t, "lengths")
		for _, n := range values {
			if err := encoder.Encode(make([]byte, n)); err != nil {
				t.Fatal(err)
			}
		}
		budget := membudget.New(1<<20, clock.New())
		f := frames{maxBytes: 1 << 20, memory: budget.NewClaim(func() {})}
		for data := stream.Bytes(); len(data) > 0; {
			n := rapid.IntRange(1, len(data)).Draw(t, "piece")
			if err := f.arrived(data[:n]); err != nil {
				t.Fatal(err)
			}
			data = data[n:]
		}
		if f.messages != int64(len(values)) || f.remaining != 0 || f.lengthBytes != 0 {
			t.Fatalf("%d messages and %d bytes missing, want %d messages", f.messages, f.remaining, len(values))
		}
	})
}

func TestMessageAboveLimitIsRefused(t *testing.T) {
	for name, data := range map[string][]byte{
		"three bytes":     {0xfd, 0x10, 0x00, 0x01},
		"eight bytes":     {0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"length too long": {0x80},
	} {
		f := frames{maxBytes: 1 << 20}
		if err := f.arrived(data); !errors.Is(err, ErrMessageTooLarge) {
			t.Errorf("%s: got error %v, want ErrMessageTooLarge", name, err)
		}
	}
}

// TestStoppedMessageGivesWay checks that a message which has stopped is closed in favour of one
// that waits for memory.
func TestStoppedMessageGivesWay(t *testing.T) {
	budget := membudget.New(4<<20, clock.New())
	cfg := DefaultConfig()
	cfg.Memory = budget
	frame := []byte{0xfd, 0x10, 0x00, 0x00} // 1 MB, of which two copies are counted
	read := func() <-chan error {
		mine, theirs := net.Pipe()
		t.Cleanup(func() { mine.Close() })
		conn := newServerConn(theirs, cfg, &Traffic{})
		done := make(chan error, 1)
		go func() {
			_, err := conn.Read(make([]byte, 16))
			if err == nil {
				_, err = conn.Read(make([]byte, 16))
			}
			done <- err
		}()
		if _, err := mine.Write(frame); err != nil {
			t.Fatal(err)
		}
		return done
	}
	first := read()
	for budget.Usage().Used == 0 {
		time.Sleep(time.Millisecond) // interval between polls
	}
	read()
	if err := <-first; err == nil {
		t.Error("the message that has stopped was read on")
	}
}

// TestUnprovenConnectionsGiveWay checks that peers keep their connections beside a crowd that
// connects and sends nothing.
func TestUnprovenConnectionsGiveWay(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxConnections = 2
	s := NewServer(cfg)
	t.Cleanup(s.Close)
	accept := func(proven bool) (*serverConn, bool) {
		_, theirs := net.Pipe()
		c := newServerConn(theirs, cfg, &Traffic{})
		if proven {
			if err := c.frames.arrived([]byte{1, 0}); err != nil {
				t.Fatal(err)
			}
		}
		return c, s.track(c)
	}
	peer, _ := accept(true)
	accept(false)
	if _, accepted := accept(true); !accepted {
		t.Error("a new connection did not take the place of a silent one")
	}
	if _, accepted := accept(false); accepted {
		t.Error("a new connection took the place of a peer")
	}
	if _, ok := s.conns[peer]; !ok {
		t.Error("the connection of a peer was closed")
	}
}
