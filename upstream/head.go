package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/sesameswitch/sesameswitch/internal/httphead"
)

const (
	// maxSkippedResponses limits the informational (1xx) and surplus responses
	// before the final one.
	maxSkippedResponses = 8
	// maxSurplusBytes limits the body of a surplus response that is skipped.
	maxSurplusBytes = 256 << 10
)

// readResponseHead reads the head of the final response. It skips interim
// responses, and surplus ones: a server may respond again to the previous request
// of the connection after that request has ended.
func (e *Exchange) readResponseHead(r *Request) error {
	e.conn.received.limit(e.pool.cfg.MaxHeadBytes)
	defer e.conn.received.unlimit()
	for range maxSkippedResponses {
		resp, err := e.readHead(r) //nolint:bodyclose // closing would read the rest of the body; Release or Abort handles the connection
		if err != nil {
			return err
		}
		if resp.StatusCode >= http.StatusContinue && resp.StatusCode < http.StatusOK {
			continue
		}
		if r.MatchesRequest == nil || r.MatchesRequest(resp.Header) {
			e.Response = resp
			e.unidentified = r.Identified != nil && !r.Identified(resp.Header)
			e.conn.answered = nil
			if r.Method != http.MethodHead {
				e.conn.answered = r.MatchesRequest
			}
			return nil
		}
		if r.Method == http.MethodHead || e.conn.answered == nil || !e.conn.answered(resp.Header) {
			return eris.New("upstream: response belongs to another request")
		}
		if err := e.conn.skipBody(resp); err != nil {
			return err
		}
		if e.pool.cfg.OnSurplus != nil {
			e.pool.cfg.OnSurplus(e.conn.address)
		}
	}
	return eris.New("upstream: too many interim or surplus responses")
}

// readHead reads and checks one response head.
func (e *Exchange) readHead(r *Request) (*http.Response, error) {
	head, err := e.conn.peekHead()
	if err == nil {
		err = httphead.CheckResponse(head)
	}
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(e.conn.br, &http.Request{Method: r.Method}); err == nil {
			return resp, nil
		}
	}
	switch {
	case e.conn.received.exceeded:
		if e.pool.cfg.OnOversizedHead != nil {
			e.pool.cfg.OnOversizedHead(e.conn.address)
		}
		return nil, ErrHeadTooLarge
	case errors.Is(err, httphead.ErrMalformed) && e.pool.cfg.OnMalformed != nil:
		e.pool.cfg.OnMalformed(e.conn.address, err)
	}
	return nil, eris.Wrap(err, "upstream: read response head")
}

// skipBody reads the body of a surplus response to its end. It returns an error
// if the end cannot be determined: the bytes after it belong to no request.
func (c *conn) skipBody(resp *http.Response) error {
	remaining := c.received.remaining
	c.received.unlimit()
	defer c.received.limit(remaining)
	if resp.ContentLength < 0 && !isChunked(resp) {
		return eris.New("upstream: surplus response without a length")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSurplusBytes+1))
	if err != nil {
		return eris.Wrap(err, "upstream: surplus response truncated")
	}
	if n > maxSurplusBytes {
		return eris.New("upstream: surplus response too large")
	}
	return nil
}

// peekHead returns the bytes of the next response head, including its final empty line, without
// consuming them.
func (c *conn) peekHead() ([]byte, error) {
	for searched := 0; ; {
		buffered, _ := c.br.Peek(c.br.Buffered()) // cannot fail: the bytes are in memory
		if end := httphead.End(buffered, searched); end >= 0 {
			return buffered[:end], nil
		}
		searched = len(buffered)
		if searched == c.br.Size() {
			c.growBuffer(buffered)
		}
		if _, err := c.br.Peek(searched + 1); err != nil {
			return nil, err
		}
	}
}

// growBuffer replaces the reader with one that has a buffer of twice the size and starts with
// the buffered bytes.
func (c *conn) growBuffer(buffered []byte) {
	data := bytes.Clone(buffered)
	c.br = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(data), c.received), 2*len(data))
	_, _ = c.br.Peek(len(data)) // cannot fail: the bytes are in memory
}
