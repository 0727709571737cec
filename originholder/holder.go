// Package originholder is a small process on the VM of a backend server that holds where
// streams began, so that the records outlive a restart of all gateways.
//
// It answers one load: all gateways restart at the same time while servers of several software
// versions serve, and dozens of callers take their streams up within a tenth of a second.
// Gateways report each stream to a few holders, and ask these.
//
// Callers may assume that a holder never answers with another origin than the one that a
// gateway reported for the stream; a stream of which two were reported counts as unknown, and
// so does one whose report was lost, or was made to an earlier process. A holder reads nothing
// else, concludes nothing, and keeps at most the records of an origin.Register.
package originholder

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/internal/datagram"
	"github.com/sesameswitch/sesameswitch/origin"
)

const (
	// Mark is an entry of each message of a holder. Gateways do not count its sender as one of
	// them.
	Mark = "@origin-holder"
	// maxDatagramBytes is the maximum size of a message between gateways.
	maxDatagramBytes = 1400
	// maxAnswers limits the answers in one message; each takes at most a few hundred bytes.
	maxAnswers = 8
	// summaryInterval is how often the numbers of records, reports and questions are logged, if
	// they have changed.
	summaryInterval = 10 * time.Second
)

// Message is a message between gateways or with a holder, sent as one datagram.
type Message struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // makes the codec write an array without field names
	// From is the address of the sender, IP:PORT.
	From string
	// Known holds entries, among them those of package origin.
	Known []string
	// Hints are load hints between gateways, which holders do not read.
	Hints []msgpack.RawMessage
}

// Holder holds where streams began. It is used by one goroutine.
type Holder struct {
	register           *origin.Register
	reports, questions int
}

// New returns a holder without records.
func New() *Holder { return &Holder{register: origin.NewRegister()} }

// Handle applies the reports of a message and returns the answers to its questions.
func (h *Holder) Handle(now time.Time, message *Message) (answers []string) {
	for _, entry := range message.Known {
		if reports, isReport := origin.ParseReports(entry); isReport {
			h.reports += len(reports)
			h.register.Apply(now, reports...)
		} else if q, isQuestion := origin.ParseQuestion(entry); isQuestion && len(answers) < maxAnswers {
			h.questions++
			a := origin.Answer{Key: q.Key}
			if began, known := h.register.Find(now, q.Key); known {
				a.Kind, a.Origin = origin.Recorded, began
			}
			answers = append(answers, origin.EncodeAnswer(q, a))
		}
	}
	return answers
}

// Serve answers the messages that arrive at the address, IP:PORT, until the context ends. It
// returns an error if it cannot listen or receive.
func Serve(ctx context.Context, address string, c clock.Clock, log *logrus.Entry) error {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return eris.Wrapf(err, "originholder: address %q is not IP:PORT", address)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return eris.Wrap(err, "originholder: listen")
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // makes the next read return
	defer stop()
	log.WithFields(logrus.Fields{"event": "started", "address": address}).Info("origin holder started")
	h, buf, summarized := New(), make([]byte, maxDatagramBytes), c.Now()
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			log.WithField("event", "stopped").Info("origin holder stopped")
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "originholder: receive")
		}
		now := c.Now()
		h.answer(conn, address, now, buf[:n], log)
		if now.Sub(summarized) >= summaryInterval {
			summarized = now
			log.WithFields(logrus.Fields{"event": "origins_held", "records": h.register.Len(), "reports": h.reports, "questions": h.questions}).Info("records of where streams began")
		}
	}
}

// answer handles the content of one datagram, and sends the answers to the address that its sender states.
func (h *Holder) answer(conn *net.UDPConn, address string, now time.Time, content []byte, log *logrus.Entry) {
	var message Message
	if err := datagram.Unmarshal(content, &message); err != nil {
		log.WithError(err).WithField("event", "message_unreadable").Debug("undecodable message ignored")
		return
	}
	answers := h.Handle(now, &message)
	to, err := netip.ParseAddrPort(message.From)
	if len(answers) == 0 || err != nil {
		return
	}
	reply, err := msgpack.Marshal(&Message{From: address, Known: append(answers, Mark)})
	if err != nil || len(reply) > maxDatagramBytes {
		log.WithError(err).WithFields(logrus.Fields{"event": "answer_failed", "bytes": len(reply)}).Warn("answers cannot be encoded or are too large; not sent")
		return
	}
	_, _ = conn.WriteToUDPAddrPort(reply, to) // the question is repeated
}
