package gateway

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/deployment"
	"github.com/sesameswitch/sesameswitch/origin"
	"github.com/sesameswitch/sesameswitch/routes"
	"github.com/sesameswitch/sesameswitch/routing"
)

// TestOriginReportsFitDatagrams checks that many reports are divided into messages of at most
// maxDatagramBytes, that none is lost, and that the data centre stands last.
func TestOriginReportsFitDatagrams(t *testing.T) {
	want := make(map[origin.Key]origin.Report)
	var reports []origin.Report
	for i := range 500 {
		r := origin.Report{Key: origin.KeyOf("acme", fmt.Sprint(i)), Origin: origin.Origin{Service: "llm/a,b", SoftwareVersion: fmt.Sprintf("v%d/%%", i%7)}, Keep: 13 * time.Second}
		want[r.Key] = r
		reports = append(reports, r)
	}
	for _, entries := range splitEntries(origin.EncodeReports(reports), maxOriginBytes) {
		message := peerMessage{From: "10.100.200.255:65535", Known: append(entries, dataCentreMark+strings.Repeat("d", 64))}
		if n := len(encodeMessage(t, message)); n > maxDatagramBytes {
			t.Errorf("a message has %d bytes", n)
		}
		for _, entry := range entries {
			got, valid := origin.ParseReports(entry)
			if !valid || !isReportEntry(entry) {
				t.Fatalf("%q cannot be parsed, or counts as a data centre", entry)
			}
			for _, r := range got {
				if r != want[r.Key] {
					t.Errorf("got %+v, want %+v", r, want[r.Key])
				}
				delete(want, r.Key)
			}
		}
	}
	if len(want) > 0 {
		t.Errorf("%d reports are missing", len(want))
	}
}

// TestAskedGatewaysHoldTheOrigin checks that a gateway asks one that was told where a stream
// began, also if it does not know some of the others, with few messages in a large fleet.
func TestAskedGatewaysHoldTheOrigin(t *testing.T) {
	for _, gateways := range []int{2, 4, 16, 68, 340} {
		c := clock.NewManual(epoch)
		address := func(i int) string { return fmt.Sprintf("10.0.%d.%d:80", i/200, i%200) }
		knowing := func(self int, unknown ...int) *Peers {
			p := NewPeers(&deployment.Settings{PeerAddress: address(self)}, routing.NewScheduler("a"), c, discardLog())
			for i := range gateways {
				if i != self && !slices.Contains(unknown, i) {
					p.handleMessage(peerMessage{From: address(i)})
				}
			}
			return p
		}
		began := knowing(0)
		takesUp := knowing(1, 2, 3)
		for i := range 200 {
			key := origin.KeyOf("acme", fmt.Sprint(i))
			told := began.gatewayHolders(key, originHolders)
			asked := takesUp.OriginHolders(key)
			if len(told) != min(originHolders, gateways-1) || len(asked) > originAsked {
				t.Errorf("%d gateways: %d told, %d asked", gateways, len(told), len(asked))
			}
			// The gateway itself may have been told; the one that began the stream holds it, too.
			if !slices.Contains(told, address(1)) && !slices.ContainsFunc(asked, func(a string) bool { return a == address(0) || slices.Contains(told, a) }) {
				t.Errorf("%d gateways: told %v, asked %v", gateways, told, asked)
			}
		}
	}
}

// silentAsker knows gateways that do not answer, and counts what it is asked.
type silentAsker struct {
	holders []string
	asked   int
	// reports counts the reports that were sent.
	reports int
	server  *Server
}

func (a *silentAsker) OriginHolders(origin.Key) []string { return a.holders }

func (a *silentAsker) ReportOrigins() { a.reports += len(a.server.TakeOriginReports()) }

func (a *silentAsker) AskOrigin(_ origin.Question, targets []string) { a.asked += len(targets) }

// TestUnansweredQuestionEnds checks that a question is repeated once to the gateways that have
// not answered, ends after originTimeout, and leaves nothing behind.
func TestUnansweredQuestionEnds(t *testing.T) {
	asker := &silentAsker{holders: []string{"10.0.0.2:80", "10.0.0.3:80"}}
	s := &Server{deps: Dependencies{Origins: asker}, inquiries: newInquiries()}
	q := origin.Question{Key: origin.KeyOf("acme", "a"), Service: "llm", Span: time.Second}
	if answers := s.askOrigin(context.Background(), q); len(answers) != 0 || asker.asked != 4 || len(s.inquiries.byKey) != 0 {
		t.Errorf("got %v after %d questions, %d left open", answers, asker.asked, len(s.inquiries.byKey))
	}
	s.ApplyOriginAnswer("10.0.0.2:80", origin.Answer{Key: q.Key, Kind: origin.SeveralVersions}) // too late
}

// TestOriginIsReportedAfterFirstEvent guards against a caller that has got the first event of a
// stream before other gateways and holders are informed of where it began: if the gateway is killed
// then, nobody can let the stream go on.
func TestOriginIsReportedAfterFirstEvent(t *testing.T) {
	s := &Server{deps: Dependencies{Clock: clock.New()}, origins: origin.NewRegister()}
	asker := &silentAsker{server: s}
	s.deps.Origins = asker
	s.recordOrigin(&request{
		RequestInfo: &RequestInfo{ID: "a"}, route: &routes.Route{Kind: routes.Stream, Resumable: true}, service: &routes.Service{Name: "llm"},
		continuation: &continuation{softwareVersion: "v1"},
	})
	if asker.reports != 1 {
		t.Errorf("%d reports were sent when the event is forwarded, want 1", asker.reports)
	}
}

// TestAnswersEndQuestion checks that a question ends with the first record or the last answer,
// that a repeated answer counts once, and that callers who ask at the same time share it.
func TestAnswersEndQuestion(t *testing.T) {
	key := origin.KeyOf("acme", "a")
	q := newInquiries()
	i, ask := q.open(key, []string{"b", "c"})
	if same, again := q.open(key, []string{"b", "c"}); !ask || again || same != i {
		t.Error("two callers ask about the same stream")
	}
	several := origin.Answer{Key: key, Kind: origin.SeveralVersions}
	q.answer("b", several)
	q.answer("b", several)
	q.answer("d", several)
	select {
	case <-i.done:
		t.Error("ended before the last answer")
	default:
	}
	q.answer("c", several)
	<-i.done
	if got := q.end(key, i); len(got) != 2 {
		t.Errorf("got %d answers, want 2", len(got))
	}
	i, _ = q.open(key, []string{"b", "c"})
	q.answer("b", origin.Answer{Key: key, Kind: origin.Recorded, Origin: origin.Origin{Service: "llm", SoftwareVersion: "v1"}})
	<-i.done
}

// TestStreamKeyDependsOnAccount checks that a caller cannot name the stream of another account.
func TestStreamKeyDependsOnAccount(t *testing.T) {
	begins := request{RequestInfo: &RequestInfo{ID: "a"}, account: &routes.ClientAccount{Name: "acme"}}
	takesUp := func(account string) *request {
		return &request{RequestInfo: &RequestInfo{ID: "b", Resumes: "a", ResumeAfter: 3}, account: &routes.ClientAccount{Name: account}}
	}
	if begins.streamKey() != takesUp("acme").streamKey() || begins.streamKey() == takesUp("rival").streamKey() {
		t.Error("the key is not that of the account's own stream")
	}
}

// FuzzParseOriginEntries checks that no entry of a peer stops a gateway, and that reports stay
// within bounds.
func FuzzParseOriginEntries(f *testing.F) {
	key := origin.KeyOf("acme", "a")
	f.Add(origin.EncodeReports([]origin.Report{{Key: key, Origin: origin.Origin{Service: "llm", SoftwareVersion: "v1"}, Keep: 13 * time.Second}})[0])
	for _, kind := range []origin.AnswerKind{origin.Unknown, origin.OneVersion, origin.SeveralVersions} {
		f.Add(origin.EncodeAnswer(origin.Question{Key: key}, origin.Answer{Key: key, Kind: kind, Origin: origin.Origin{Service: "llm", SoftwareVersion: "v1"}}))
	}
	f.Add(origin.EncodeQuestion(origin.Question{Key: key, Service: "llm", Span: 8 * time.Second}))
	f.Add("@origin=99999999999/llm/v1/" + key.String())
	f.Add("@origin-sole=" + key.String() + "/llm/v1")
	f.Add("@origin=1//%zz/,,")
	f.Fuzz(func(t *testing.T, entry string) {
		if reports, valid := origin.ParseReports(entry); valid {
			r := origin.NewRegister()
			r.Apply(epoch, reports...)
			if _, known := r.Find(epoch.Add(origin.MaxKeep), reports[0].Key); known || reports[0].Origin.Service == "" {
				t.Errorf("%q: got %+v", entry, reports[0])
			}
		}
		if q, valid := origin.ParseQuestion(entry); valid && q.Span < 0 {
			t.Errorf("%q: got %+v", entry, q)
		}
		if a, valid := origin.ParseAnswer(entry); valid && a.Kind == origin.Recorded {
			t.Errorf("%q counts as a record", entry)
		}
	})
}
