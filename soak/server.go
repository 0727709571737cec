package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sesameswitch/sesameswitch/platform/standin"
	"github.com/sesameswitch/sesameswitch/testbed"
)

const (
	// pieces is the number of events of each stream.
	pieces = 6
	// leaveAfter is how long a leaving server still listens; above the bound, so
	// that requests that come too late are seen.
	leaveAfter = drainBound + 1500*time.Millisecond
)

// server is one backend server behind a link.
type server struct {
	*standin.Replica
	service string
	link    *testbed.Relay
	stop    chan struct{}

	mu sync.Mutex
	// faulty is the kind of failure that it has now.
	faulty string
	// left is when it said that it leaves.
	left time.Time
}

// addServer starts a backend server and registers it.
func (d *deployment) addServer(service string) error {
	d.mu.Lock()
	id := fmt.Sprintf("%s-%d", service, len(d.servers))
	d.mu.Unlock()
	replica, err := standin.NewReplica(id)
	if err != nil {
		return err
	}
	link, err := testbed.NewRelay(replica.Address())
	if err != nil {
		replica.Close()
		return err
	}
	s := &server{Replica: replica, service: service, link: link, stop: make(chan struct{})}
	replica.SetScript(func(e *standin.Exchange) bool { return d.serve(s, e) })
	go s.drain()
	d.mu.Lock()
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	d.register(s, "ready")
	return nil
}

func (d *deployment) register(s *server, state string) {
	entry := strings.Replace(string(s.RegistryEntry(s.service, "zone-a", state)), s.Address(), s.link.Address(), 1)
	d.store.Put("servers/"+s.ID, []byte(entry))
}

// drain takes the notices of arrivals, which the soak does not use.
func (s *server) drain() {
	for {
		select {
		case <-s.Received():
		case <-s.stop:
			return
		}
	}
}

func (s *server) close() {
	s.link.Close()
	s.Close()
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
}

func (s *server) state() (faulty string, left time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faulty, s.left
}

// causeAtServer brings a failure of a backend server about and ends it.
func (d *deployment) causeAtServer(f Fault) {
	d.mu.Lock()
	s := d.servers[(f.Target*2+f.Variant)%len(d.servers)]
	d.mu.Unlock()
	set := func(kind string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.faulty = kind
	}
	switch f.Kind {
	case LinkFails:
		how := []testbed.LinkState{testbed.LinkDown, testbed.LinkBlackhole, testbed.LinkDropsResponses, testbed.LinkDropsRequests, testbed.LinkDelayed}[f.Variant]
		d.troubled(f, func() { s.link.SetState(how) }, func() { s.link.SetState(testbed.LinkOpen) })
	case ServerLeaves:
		d.leave(s)
	default:
		d.troubled(f, func() { set(f.Kind) }, func() { set("") })
	}
}

// leave takes a server away as planned and starts another one.
func (d *deployment) leave(s *server) {
	s.mu.Lock()
	leaving := !s.left.IsZero()
	s.mu.Unlock()
	if leaving {
		return
	}
	d.register(s, "draining")
	s.mu.Lock()
	s.left = time.Now()
	s.mu.Unlock()
	d.history.failed("starts a backend server", d.addServer(s.service))
	time.Sleep(leaveAfter)
	d.store.Remove("servers/" + s.ID)
	s.close()
}

// serve answers one request and notes it.
func (d *deployment) serve(s *server, e *standin.Exchange) bool {
	faulty, left := s.state()
	r := run{
		server: s.ID, service: s.service, at: time.Now(), left: left, account: e.Tenant(), keyed: e.HasKey(),
		refused: faulty == ServerRefuses || e.ExpectedReplica() != s.ID,
	}
	id := e.AttemptID()
	d.history.arrived(id, r)
	if r.refused {
		e.Refuse(map[bool]int{true: 503, false: 421}[faulty == ServerRefuses])
		return true
	}
	time.Sleep(time.Duration(2+rand.IntN(15)) * time.Millisecond)
	if faulty == ServerFails && rand.IntN(2) == 0 {
		e.Respond(500, "failed "+id)
		return true
	}
	cut := faulty == ServerCuts && rand.IntN(2) == 0
	if s.service == "llm" {
		return stream(e, id, cut)
	}
	if cut {
		e.WriteHead(200, "Content-Length: 400")
		e.Write("answer")
		e.Reset()
		return false
	}
	e.Respond(200, "answer to "+id)
	return true
}

// stream sends the events from the one that is asked for.
func stream(e *standin.Exchange, id string, cut bool) bool {
	from := e.ResumeAfter()
	e.WriteStreamHead()
	for n := from + 1; n <= pieces; n++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if cut && n > from+1 {
			e.WriteChunk(event[:len(event)/2])
			e.Reset()
			return false
		}
		e.WriteChunk(event)
		time.Sleep(time.Duration(rand.IntN(8)) * time.Millisecond)
	}
	e.EndChunks()
	return true
}
