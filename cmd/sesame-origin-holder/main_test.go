package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesameswitch/sesameswitch/origin"
	"github.com/sesameswitch/sesameswitch/originholder"
)

// answerTimeout is how long a question waits for its answer before it is repeated.
const answerTimeout = 100 * time.Millisecond

// TestHolderOutlivesChangeOfSettings guards against a holder that SIGHUP ends, with all its
// records: the platform sends it when the settings change. SIGTERM ends it.
func TestHolderOutlivesChangeOfSettings(t *testing.T) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reserved, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	holder := reserved.LocalAddr().(*net.UDPAddr)
	reserved.Close()
	boot := filepath.Join(t.TempDir(), "boot.toml")
	if err := os.WriteFile(boot, fmt.Appendf(nil, "node_name = \"side-1\"\nip = \"127.0.0.1\"\nport_range = [%d, %d]\n", holder.Port, holder.Port+1), 0o600); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- run(&flags{Boot: boot, LogLevel: "error"}) }()
	question := originholder.Message{From: conn.LocalAddr().String(), Known: []string{origin.EncodeQuestion(origin.Question{Key: origin.KeyOf("acme", "a"), Service: "llm"})}}
	content, err := msgpack.Marshal(&question)
	if err != nil {
		t.Fatal(err)
	}
	awaitAnswer := func() {
		t.Helper()
		buf := make([]byte, 1400)
		for range 100 {
			_, _ = conn.WriteToUDP(content, holder) // the holder may not listen yet
			_ = conn.SetReadDeadline(time.Now().Add(answerTimeout))
			if _, err := conn.Read(buf); err == nil {
				return
			}
		}
		t.Fatal("no answer")
	}
	awaitAnswer()
	signalSelf(t, syscall.SIGHUP)
	awaitAnswer()
	signalSelf(t, syscall.SIGTERM)
	if err := <-done; err != nil {
		t.Errorf("stopped with error: %v", err)
	}
}

func signalSelf(t *testing.T, sig syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), sig); err != nil {
		t.Fatal(err)
	}
}
