package crowd

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesameswitch/sesameswitch/origin"
	"github.com/sesameswitch/sesameswitch/originholder"
	"github.com/sesameswitch/sesameswitch/testbed"
)

// oddDatagrams are messages that state lengths far beyond their own.
var oddDatagrams = map[string][]byte{
	"entries":             {0x93, 0xa1, 'a', 0xdd, 0x7f, 0xff, 0xff, 0xff},
	"hints":               {0x93, 0xa1, 'a', 0x90, 0xdd, 0x00, 0x0f, 0xff, 0xff},
	"hints-without-bound": {0x93, 0xa1, 'a', 0x90, 0xdd, 0xff, 0xff, 0xff, 0xff},
	"text":                {0x93, 0xdb, 0x03, 0xff, 0xff, 0xff},
	"map":                 {0xdf, 0x7f, 0xff, 0xff, 0xff},
}

// datagramCount is how often each odd datagram is sent.
const datagramCount = 50

// sendOddDatagrams sends one kind of odd datagram to an address.
func sendOddDatagrams(t *testing.T, address string, content []byte) {
	t.Helper()
	conn, err := net.Dial("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for range datagramCount {
		_, _ = conn.Write(content) // fails if the process has ended, which is checked later
	}
	time.Sleep(settleTime)
}

// TestOddDatagramsToGateway sends messages with absurd lengths to the listener for other
// gateways.
func TestOddDatagramsToGateway(t *testing.T) {
	for name, content := range oddDatagrams {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t)
			sendOddDatagrams(t, g.peers, content)
			g.check(t)
			eventually(t, "ordinary request served", func() bool { return g.ordinary("/safe/after") })
			g.check(t)
		})
	}
}

// TestOddDatagramsToHolder sends messages with absurd lengths to an origin holder.
func TestOddDatagramsToHolder(t *testing.T) {
	for name, content := range oddDatagrams {
		t.Run(name, func(t *testing.T) {
			address, err := testbed.FreeAddress()
			if err != nil {
				t.Fatal(err)
			}
			ip, port, err := net.SplitHostPort(address)
			if err != nil {
				t.Fatal(err)
			}
			path := filepath.Join(t.TempDir(), "boot.toml")
			if err := os.WriteFile(path, fmt.Appendf(nil, "node_name = \"side-1\"\nip = %q\nport_range = [%s, %s]\n[limits]\nmemory_mb = %d\n", ip, port, port, memoryMB), 0o600); err != nil {
				t.Fatal(err)
			}
			holder := programProcess(t, &testbed.Program{Name: "holder", Path: filepath.Join(binDir, "sesame-origin-holder"), Args: []string{"--boot", path}}, memoryMB, 0)
			eventually(t, "holder answers", func() bool { return holderAnswers(t, address) })
			sendOddDatagrams(t, address, content)
			holder.check(t)
			eventually(t, "holder answers after the odd datagrams", func() bool { return holderAnswers(t, address) })
			holder.check(t)
		})
	}
}

// holderAnswers asks a holder one question and reports whether it answers.
func holderAnswers(t *testing.T, address string) bool {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	question, err := msgpack.Marshal(&originholder.Message{
		From: conn.LocalAddr().String(), Known: []string{origin.EncodeQuestion(origin.Question{Key: origin.KeyOf("acme", "a"), Service: "llm"})},
	})
	if err != nil {
		t.Fatal(err)
	}
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = conn.WriteToUDP(question, to)
	_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) // the question is repeated
	_, err = conn.Read(make([]byte, 1400))
	return err == nil
}
