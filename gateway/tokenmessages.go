package gateway

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sesameswitch/sesameswitch/limit"
	"github.com/sesameswitch/sesameswitch/retry"
)

const (
	// The marks begin entries of peerMessage.Known about tokens of cold servers: a question,
	// and the answer of a gateway that gives some away.
	tokenAskMark  = dataCentreMark + "ask="
	tokenLendMark = dataCentreMark + "lend="
	// maxTokens bounds the tokens in a message.
	maxTokens = 64
)

// TokenAsker asks other gateways for tokens of cold servers.
type TokenAsker interface {
	// AskTokens sends a question to the next holder. It returns false if there is no holder
	// other than this gateway.
	AskTokens(server retry.Incarnation, q limit.Question) bool
}

// TokenExchange lends and accepts tokens of cold servers.
type TokenExchange interface {
	// LendTokens returns how many tokens this gateway gives to another one, of those for
	// which it asked.
	LendTokens(server retry.Incarnation, wanted int) int
	// ApplyLentTokens applies the answer of another gateway to a question.
	ApplyLentTokens(server retry.Incarnation, question int64, tokens int)
}

// tokenMessage is a question or an answer.
type tokenMessage struct {
	server   retry.Incarnation
	question int64
	tokens   int
}

// encode encodes a message as "MARK QUESTION/TOKENS/STARTED/ID".
func (m tokenMessage) encode(mark string) string {
	return mark + strconv.FormatInt(m.question, 36) + "/" + strconv.Itoa(m.tokens) + "/" + strconv.FormatInt(m.server.StartedAtMs, 10) + "/" + m.server.ID
}

// parseTokenMessage parses what encode has encoded after the mark.
func parseTokenMessage(text string) (m tokenMessage, valid bool) {
	parts := strings.SplitN(text, "/", 4)
	if len(parts) < 4 || parts[3] == "" {
		return m, false
	}
	question, questionErr := strconv.ParseInt(parts[0], 36, 64)
	tokens, tokensErr := strconv.Atoi(parts[1])
	startedAtMs, startErr := strconv.ParseInt(parts[2], 10, 64)
	if cmp.Or(questionErr, tokensErr, startErr) != nil || tokens < 1 || tokens > maxTokens {
		return m, false
	}
	return tokenMessage{retry.Incarnation{ID: parts[3], StartedAtMs: startedAtMs}, question, tokens}, true
}

// Holders returns the addresses of the gateways whose Position for the key is less than
// count, in the order of Position, without this one.
func (p *Peers) Holders(key string, count int) []string {
	gateways, _ := p.Sharing()
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := []string{p.address}
	for address := range p.sharing {
		addresses = append(addresses, address)
	}
	for _, seed := range p.seeds {
		if _, heard := p.sharing[seed]; !heard && seed != p.address {
			addresses = append(addresses, seed)
		}
	}
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(orderOf(key, a), orderOf(key, b)) })
	var holders []string
	for i, address := range addresses {
		if i*max(gateways, len(addresses))/len(addresses) < count && address != p.address {
			holders = append(holders, address)
		}
	}
	return holders
}

// AskTokens implements TokenAsker.
func (p *Peers) AskTokens(server retry.Incarnation, q limit.Question) bool {
	holders := p.Holders(server.ID, q.Holders)
	conn := p.conn.Load()
	if conn == nil || len(holders) == 0 {
		return false
	}
	entry := tokenMessage{server, q.ID, q.Tokens}.encode(tokenAskMark)
	p.sendEntries(conn, []string{holders[q.Turn%len(holders)]}, []string{entry}, maxOriginBytes)
	return true
}

// applyTokenEntries answers the questions of a message, and applies its answers. A question for
// which there is no token gets no answer.
func (p *Peers) applyTokenEntries(conn *net.UDPConn, message peerMessage) {
	if p.Tokens == nil || message.From == p.address {
		return
	}
	var answers []string
	for _, entry := range message.Known {
		if text, isQuestion := strings.CutPrefix(entry, tokenAskMark); isQuestion {
			if m, valid := parseTokenMessage(text); valid {
				if m.tokens = p.Tokens.LendTokens(m.server, m.tokens); m.tokens > 0 {
					answers = append(answers, m.encode(tokenLendMark))
				}
			}
		} else if text, isAnswer := strings.CutPrefix(entry, tokenLendMark); isAnswer {
			if m, valid := parseTokenMessage(text); valid {
				p.Tokens.ApplyLentTokens(m.server, m.question, m.tokens)
			}
		}
	}
	p.sendEntries(conn, []string{message.From}, answers, maxOriginBytes)
}

var _ TokenAsker = (*Peers)(nil)

// LendTokens implements TokenExchange.
func (s *Server) LendTokens(server retry.Incarnation, wanted int) int {
	tokens := s.limits.Lend(s.deps.Clock.Now(), server, s.limitShare(server), wanted)
	s.metrics.tokensLent.Inc(int64(tokens))
	return tokens
}

// ApplyLentTokens implements TokenExchange.
func (s *Server) ApplyLentTokens(server retry.Incarnation, question int64, tokens int) {
	s.metrics.tokensBorrowed.Inc(int64(s.limits.Borrowed(s.deps.Clock.Now(), server, question, tokens)))
}

// coldStarting is how long after its start a gateway has no part of the rate of a cold server:
// longer than discoveryTime, and than the tokens of the time before may be in use.
const coldStarting = 3 * time.Second
