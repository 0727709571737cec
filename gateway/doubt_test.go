package gateway

import (
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/directory"
)

// TestDoubtEnds checks that a server which refused connections is in doubt until the same
// incarnation writes its entry again, later than an earlier version could still arrive, or
// until maxDoubt has passed; and that another incarnation is not.
func TestDoubtEnds(t *testing.T) {
	server := func(startedAtMs int64) *directory.BackendServer {
		return &directory.BackendServer{ID: "i-1", Service: "llm", SoftwareVersion: "v1", StartedAtMs: startedAtMs}
	}
	for _, test := range []struct {
		name           string
		written, after time.Duration
		restarted      bool
		want           bool
	}{
		{"at once", 0, time.Millisecond, false, true},
		{"written before the crash, read later", entryDelay, entryDelay + time.Second, false, true},
		{"written again", entryDelay + 1, entryDelay + time.Second, false, false},
		{"not written again", 0, maxDoubt, false, true},
		{"still listed after a long time", 0, maxDoubt + 1, false, false},
		{"another incarnation", time.Second, 2 * time.Second, true, false},
	} {
		now := time.Hour
		c := clock.NewManual(epoch)
		s := &Server{deps: Dependencies{Elapsed: func() time.Duration { return now }, Clock: c, Directory: directory.New(), Log: discardLog()}, doubts: newDoubts()}
		write := func(b *directory.BackendServer, revision uint64) {
			s.deps.Directory.Apply(time.Unix(0, int64(now)), []directory.Change{{ID: b.ID, Revision: revision, Server: b}}, revision)
		}
		write(server(1), 1)
		s.doubt(serverIDOf(server(1)), c.Now(), "")
		newest := server(1)
		if test.restarted {
			newest = server(2)
		}
		if test.written > 0 {
			now += test.written
			write(newest, 2)
		}
		now += test.after - test.written
		if got := s.doubted(newest); got != test.want {
			t.Errorf("%s: in doubt %v, want %v", test.name, got, test.want)
		}
	}
}
