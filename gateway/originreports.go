package gateway

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/sesameswitch/sesameswitch/clock"
	"github.com/sesameswitch/sesameswitch/origin"
)

const (
	// originHolders is how many other gateways, and how many holders beside backend servers, are
	// informed of where a stream began: a part of the fleet must be able to fail at the same time.
	originHolders = 3
	// originAsked is how many of each are asked, at least: gateways do not know the same peers
	// and servers at any time.
	originAsked = 6
	// maxOriginBytes limits the entries about streams in one datagram.
	maxOriginBytes = 1100
	// holderCheckInterval is how often new holders are looked for.
	holderCheckInterval = 100 * time.Millisecond
)

// OriginExchange provides and accepts reports about where streams began.
type OriginExchange interface {
	// OriginsChanged returns a channel that gets a value when there are new reports.
	// TakeOriginReports returns them.
	OriginsChanged() <-chan struct{}
	TakeOriginReports() []origin.Report
	// OwnOriginReports returns the reports of this gateway that have not expired.
	OwnOriginReports(now time.Time) []origin.Report
	// ApplyOrigins applies reports of another gateway.
	ApplyOrigins(now time.Time, reports []origin.Report)
	// AnswerOrigin returns what this gateway knows of a stream about which another one asks.
	AnswerOrigin(now time.Time, q origin.Question) origin.Answer
	// ApplyOriginAnswer applies the answer of another gateway.
	ApplyOriginAnswer(from string, a origin.Answer)
}

// ReportOrigins implements OriginAsker. The caller of a gateway that is killed next takes its
// stream up, so it must not get the first event before.
func (p *Peers) ReportOrigins() {
	conn := p.conn.Load()
	if conn == nil {
		return // sendOrigins follows
	}
	p.reporting.Lock()
	defer p.reporting.Unlock()
	p.reportOrigins(conn, p.Origins.TakeOriginReports(), func(key origin.Key) []string {
		return append(p.gatewayHolders(key, originHolders), origin.FirstHolders(key, p.vmHolders(), originHolders)...)
	})
}

// sendOrigins reports, until the context ends, the streams that began before this gateway had a
// connection.
func (p *Peers) sendOrigins(ctx context.Context, conn *net.UDPConn) {
	if p.Origins == nil {
		return
	}
	go p.informNewHolders(ctx, conn)
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.Origins.OriginsChanged():
			p.ReportOrigins()
		}
	}
}

// informNewHolders reports the streams that go on to holders that became one of the first for
// them, because a backend server has joined or left, until the context ends.
func (p *Peers) informNewHolders(ctx context.Context, conn *net.UDPConn) {
	if p.OriginHolderAddresses == nil {
		return
	}
	var informed []string
	clock.Every(ctx, holderCheckInterval, func() {
		present := p.vmHolders()
		if slices.Equal(informed, present) {
			return
		}
		before := informed
		p.reportOrigins(conn, p.Origins.OwnOriginReports(p.clock.Now()), func(key origin.Key) []string {
			previous := origin.FirstHolders(key, before, originHolders)
			return slices.DeleteFunc(origin.FirstHolders(key, present, originHolders), func(a string) bool { return slices.Contains(previous, a) })
		})
		informed = present
	})
}

// gatewayHolders returns the first live gateways in the order of the key, without this one. All
// gateways that know each other have the same order.
func (p *Peers) gatewayHolders(key origin.Key, count int) []string {
	return origin.FirstHolders(key, p.livePeers(p.clock.Now()), count)
}

// vmHolders returns the addresses of the holders on the VMs of backend servers.
func (p *Peers) vmHolders() []string {
	if p.OriginHolderAddresses == nil {
		return nil
	}
	return p.OriginHolderAddresses()
}

// reportOrigins sends each report to the addresses that holdersOf returns for its stream.
func (p *Peers) reportOrigins(conn *net.UDPConn, reports []origin.Report, holdersOf func(origin.Key) []string) {
	byHolder := make(map[string][]origin.Report)
	for _, r := range reports {
		for _, address := range holdersOf(r.Key) {
			byHolder[address] = append(byHolder[address], r)
		}
	}
	for address, some := range byHolder {
		p.sendEntries(conn, []string{address}, origin.EncodeReports(some), maxOriginBytes)
	}
}

// OriginHolders implements OriginAsker.
func (p *Peers) OriginHolders(key origin.Key) []string {
	return append(p.gatewayHolders(key, originAsked), origin.FirstHolders(key, p.vmHolders(), originAsked)...)
}

// AskOrigin implements OriginAsker.
func (p *Peers) AskOrigin(q origin.Question, targets []string) {
	if conn := p.conn.Load(); conn != nil {
		p.sendEntries(conn, targets, []string{origin.EncodeQuestion(q)}, maxOriginBytes)
	}
}

// applyOriginEntries applies what a message states about streams, and answers its questions.
func (p *Peers) applyOriginEntries(conn *net.UDPConn, now time.Time, message peerMessage) {
	if p.Origins == nil {
		return
	}
	var answers []string
	for _, entry := range message.Known {
		if reports, isReport := origin.ParseReports(entry); isReport {
			p.Origins.ApplyOrigins(now, reports)
			for _, r := range reports {
				p.Origins.ApplyOriginAnswer(message.From, origin.Answer{Key: r.Key, Kind: origin.Recorded, Origin: r.Origin})
			}
		} else if q, isQuestion := origin.ParseQuestion(entry); isQuestion {
			answers = append(answers, p.answerOrigin(now, q))
		} else if a, isAnswer := origin.ParseAnswer(entry); isAnswer {
			p.Origins.ApplyOriginAnswer(message.From, a)
		}
	}
	p.sendEntries(conn, []string{message.From}, answers, maxOriginBytes)
}

// answerOrigin returns the entry that answers a question.
func (p *Peers) answerOrigin(now time.Time, q origin.Question) string {
	a := p.Origins.AnswerOrigin(now, q)
	p.log.WithFields(logrus.Fields{"event": "origin_answered", "stream": q.Key.String(), "answer": a.Kind.String(), "software_version": a.Origin.SoftwareVersion}).Debug("another gateway asked where a stream began")
	return origin.EncodeAnswer(q, a)
}
