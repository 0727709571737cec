package originholder

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/directory"
	"github.com/sesameswitch/sesameswitch/origin"
)

const (
	service = "llm"
	// streamSpan is for how long a stream may be taken up after it began, keep for how long
	// records are kept.
	streamSpan, keep = 8 * time.Second, 13 * time.Second
	heartbeat        = time.Second
	// holders is the number of holders that get a report, asked that of those asked.
	holders, asked = 3, 6
)

// fleetServer is a backend server with the holder on its VM.
type fleetServer struct {
	id, version string
	holder      *Holder
}

// begunStream is a stream that callers may take up.
type begunStream struct {
	key     origin.Key
	version string
	at      time.Time
}

// message is one that was sent and has not arrived.
type message struct {
	to      string
	entries []string
}

// fleet is the state of servers, gateways, the store and messages on their way.
type fleet struct {
	t        *rapid.T
	now      time.Time
	servers  map[string]*fleetServer
	gateways []*origin.Register
	informed [][]string
	history  []directory.Change
	streams  []begunStream
	messages []message
	started  int
}

func (f *fleet) join(version string) {
	f.started++
	id := fmt.Sprintf("10.0.0.%d:7000", f.started)
	f.servers[id] = &fleetServer{id, version, New()}
	f.write(id)
}

// write lets a server write its registry entry.
func (f *fleet) write(id string) {
	f.history = append(f.history, directory.Change{ID: id, Revision: uint64(len(f.history) + 1), Server: &directory.BackendServer{ID: id, Service: service, SoftwareVersion: f.servers[id].version, StartedAtMs: 1}}) //nolint:gosec // small
}

func (f *fleet) leave(id string) {
	delete(f.servers, id)
	f.history = append(f.history, directory.Change{ID: id, Revision: uint64(len(f.history) + 1), Removed: true})
}

func (f *fleet) listed() []string {
	var ids []string
	for id := range f.servers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// begin lets a stream begin at a server by a gateway that knows the servers of its last update.
func (f *fleet) begin(gateway int, id string) {
	s := begunStream{origin.KeyOf("acme", fmt.Sprint(len(f.streams))), f.servers[id].version, f.now}
	f.streams = append(f.streams, s)
	report := origin.Report{Key: s.key, Origin: origin.Origin{Service: service, SoftwareVersion: s.version}, Keep: keep}
	f.gateways[gateway].Began(f.now, report)
	f.send(report, origin.FirstHolders(s.key, f.informed[gateway], holders))
}

func (f *fleet) send(report origin.Report, to []string) {
	for _, address := range to {
		f.messages = append(f.messages, message{address, origin.EncodeReports([]origin.Report{report})})
	}
}

// update lets a gateway learn the listed servers, and inform new holders.
func (f *fleet) update(gateway int) {
	before, present := f.informed[gateway], f.listed()
	for _, r := range f.gateways[gateway].OwnReports(f.now) {
		previous := origin.FirstHolders(r.Key, before, holders)
		f.send(r, slices.DeleteFunc(origin.FirstHolders(r.Key, present, holders), func(a string) bool { return slices.Contains(previous, a) }))
	}
	f.informed[gateway] = present
}

// deliver lets a message arrive, late or in another order, or loses it.
func (f *fleet) deliver(index int, lost bool) {
	m := f.messages[index]
	f.messages = slices.Delete(f.messages, index, index+1)
	if s := f.servers[m.to]; s != nil && !lost {
		s.holder.Handle(f.now, &Message{Known: m.entries})
	}
}

// takeUp lets a gateway that has just started determine where a stream began.
func (f *fleet) takeUp(s begunStream) {
	d := directory.New()
	listed := f.listed()
	var listing []directory.Change
	for _, id := range listed {
		at := len(f.history) - 1
		for f.history[at].ID != id || f.history[at].Removed {
			at--
		}
		listing = append(listing, f.history[at])
	}
	d.Replace(f.now, listing, uint64(len(f.history)))
	answers := []origin.Answer{{Key: s.key}}
	switch version, versions := d.SoleVersion(f.now, service, streamSpan); versions { // as a gateway answers
	case directory.OneVersion:
		answers[0].Kind, answers[0].Origin = origin.OneVersion, origin.Origin{Service: service, SoftwareVersion: version}
	case directory.SeveralVersions:
		answers[0].Kind = origin.SeveralVersions
	case directory.VersionsUnknown:
	}
	recorded := false
	question := []string{origin.EncodeQuestion(origin.Question{Key: s.key, Service: service, Span: streamSpan})}
	for _, address := range origin.FirstHolders(s.key, listed, asked) {
		for _, entry := range f.servers[address].holder.Handle(f.now, &Message{Known: question}) {
			if reports, isReport := origin.ParseReports(entry); isReport {
				recorded = true
				answers = append(answers, origin.Answer{Key: s.key, Kind: origin.Recorded, Origin: reports[0].Origin})
			} else if a, isAnswer := origin.ParseAnswer(entry); isAnswer {
				answers = append(answers, a)
			}
		}
	}
	began, kind := origin.Conclude(answers)
	if (kind == origin.Recorded || kind == origin.OneVersion) && began.SoftwareVersion != s.version {
		f.t.Fatalf("stream of %s goes on at %s (%v)", s.version, began.SoftwareVersion, kind)
	}
	if recorded && kind != origin.Recorded {
		f.t.Fatalf("stream of %s is refused although a holder has its record", s.version)
	}
}

// TestStreamsNeverGoOnAtOtherVersion checks over random sequences of releases, servers that leave
// without successor, lost and late messages, restarted holders and killed gateways that no
// stream goes on at another version than the one that began it, and
// that it goes on if one of the holders that are asked has its record.
func TestStreamsNeverGoOnAtOtherVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, now: time.Unix(1_000_000, 0), servers: make(map[string]*fleetServer), gateways: []*origin.Register{origin.NewRegister(), origin.NewRegister()}, informed: make([][]string, 2)}
		for range 4 {
			f.join("v1")
		}
		server := func() string { return rapid.SampledFrom(f.listed()).Draw(t, "server") }
		gateway := rapid.IntRange(0, 1)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 10).Draw(t, "step") {
			case 0:
				f.join(rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version"))
			case 1:
				if len(f.servers) > 1 {
					f.leave(server())
				}
			case 2, 3:
				f.begin(gateway.Draw(t, "gateway"), server())
			case 4:
				f.update(gateway.Draw(t, "gateway"))
			case 5, 6:
				if n := len(f.messages); n > 0 {
					f.deliver(rapid.IntRange(0, n-1).Draw(t, "message"), rapid.Bool().Draw(t, "lost"))
				}
			case 7:
				f.servers[server()].holder = New()
			case 8:
				g := gateway.Draw(t, "gateway")
				f.gateways[g], f.informed[g] = origin.NewRegister(), nil
			default:
				for range rapid.IntRange(1, 6).Draw(t, "heartbeats") {
					f.now = f.now.Add(heartbeat)
					for _, id := range f.listed() {
						f.write(id)
					}
				}
			}
			for _, s := range f.streams {
				if f.now.Sub(s.at) < streamSpan {
					f.takeUp(s)
				}
			}
		}
	})
}

// TestServeAnswersOverUDP checks a report and two questions over a socket, beside datagrams that
// cannot be decoded and questions of senders that name no address.
func TestServeAnswersOverUDP(t *testing.T) {
	address := freeAddress(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	log := logrus.New()
	log.SetOutput(t.Output())
	go func() { done <- Serve(ctx, address, clock.New(), logrus.NewEntry(log)) }()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		t.Fatal(err)
	}
	known, unknown := origin.KeyOf("acme", "a"), origin.KeyOf("acme", "b")
	report := origin.EncodeReports([]origin.Report{{Key: known, Origin: origin.Origin{Service: service, SoftwareVersion: "v1"}, Keep: keep}})
	question := func(key origin.Key) string {
		return origin.EncodeQuestion(origin.Question{Key: key, Service: service, Span: streamSpan})
	}
	send := func(from string, entries ...string) {
		content, err := msgpack.Marshal(&Message{From: from, Known: entries})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.WriteToUDP(content, to) // the holder may not listen yet
	}
	buf := make([]byte, maxDatagramBytes)
	var got Message
	for attempt := 0; len(got.Known) == 0; attempt++ {
		if attempt == 100 {
			t.Fatal("no answer")
		}
		_, _ = conn.WriteToUDP([]byte{0xff, 0}, to)
		send("nowhere", question(known))
		send(conn.LocalAddr().String(), append(report, question(known), question(unknown))...)
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) // the socket is open
		if n, err := conn.Read(buf); err == nil {
			if err := msgpack.Unmarshal(buf[:n], &got); err != nil {
				t.Fatal(err)
			}
		}
	}
	reports, isReport := origin.ParseReports(got.Known[0])
	answer, isAnswer := origin.ParseAnswer(got.Known[1])
	if !isReport || reports[0].Key != known || reports[0].Origin.SoftwareVersion != "v1" || !isAnswer || answer.Kind != origin.Unknown || !slices.Contains(got.Known, Mark) || got.From != address {
		t.Errorf("got %+v, want a record and an unknown stream", got)
	}
	cancel()
	if err := <-done; err != nil {
		t.Errorf("stopped with error: %v", err)
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().String()
}

// FuzzHandle checks that no entry stops a holder or makes its answers too large.
func FuzzHandle(f *testing.F) {
	key := origin.KeyOf("acme", "a")
	f.Add(origin.EncodeReports([]origin.Report{{Key: key, Origin: origin.Origin{Service: service, SoftwareVersion: "v1"}, Keep: keep}})[0], origin.EncodeQuestion(origin.Question{Key: key, Service: service, Span: streamSpan}))
	f.Fuzz(func(t *testing.T, first, second string) {
		answers := New().Handle(time.Unix(1, 0), &Message{Known: []string{first, second}})
		if len(answers) > 2 {
			t.Errorf("got %d answers to two entries", len(answers))
		}
	})
}
