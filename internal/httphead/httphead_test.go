package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// malformedHeads are heads that no caller may get the response of.
var malformedHeads = map[string]string{
	"status 000":               "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n",
	"status 099":               "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n",
	"status 600":               "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n",
	"status with a sign":       "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\n",
	"status of four digits":    "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\n",
	"status of two digits":     "HTTP/1.1 20\r\nContent-Length: 2\r\n\r\n",
	"no status":                "HTTP/1.1\r\n\r\n",
	"two blanks before status": "HTTP/1.1  200 OK\r\nContent-Length: 2\r\n\r\n",
	"version 2.0":              "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n",
	"switching protocols":      "HTTP/1.1 101 Switching Protocols\r\n\r\n",
	"control byte in reason":   "HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\n",
	"blank before colon":       "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n",
	"tab before colon":         "HTTP/1.1 200 OK\r\nContent-Length\t: 2\r\n\r\n",
	"blank in name":            "HTTP/1.1 200 OK\r\nContent Length: 2\r\n\r\n",
	"blank before name":        "HTTP/1.1 200 OK\r\nX-A: b\r\n Content-Length: 2\r\n\r\n",
	"blank before first name":  "HTTP/1.1 200 OK\r\n Content-Length: 2\r\n\r\n",
	"control byte in name":     "HTTP/1.1 200 OK\r\nX-\x01A: b\r\nContent-Length: 2\r\n\r\n",
	"delete in name":           "HTTP/1.1 200 OK\r\nX-\x7fA: b\r\nContent-Length: 2\r\n\r\n",
	"carriage return in name":  "HTTP/1.1 200 OK\r\nX\r-A: b\r\nContent-Length: 2\r\n\r\n",
	"no name":                  "HTTP/1.1 200 OK\r\n: b\r\nContent-Length: 2\r\n\r\n",
	"no colon":                 "HTTP/1.1 200 OK\r\nX-A\r\nContent-Length: 2\r\n\r\n",
	"control byte in value":    "HTTP/1.1 200 OK\r\nX-A: a\x01b\r\nContent-Length: 2\r\n\r\n",
	"two lengths":              "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\n",
	"length and chunks":        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
	"chunks of HTTP/1.0":       "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}

var soundHeads = map[string]string{
	"usual":           "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-A: \tb c \r\n\r\n",
	"no reason":       "HTTP/1.1 503\r\n\r\n",
	"empty reason":    "HTTP/1.1 503 \r\n\r\n",
	"HTTP/1.0":        "HTTP/1.0 200 OK\r\n\r\n",
	"line feeds only": "HTTP/1.1 200 OK\nX-A:b\n\n",
	"empty value":     "HTTP/1.1 599 Unusual\r\nX-A:\r\nx!#$%&'*+-.^_`|~1: caf\xe9\r\n\r\n",
	"chunks":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}

func TestCheckResponse(t *testing.T) {
	for name, head := range malformedHeads {
		if err := CheckResponse([]byte(head)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got error %v, want ErrMalformed", name, err)
		}
	}
	for name, head := range soundHeads {
		if err := CheckResponse([]byte(head)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if end := End([]byte(head+"ok"), 0); end != len(head) {
			t.Errorf("%s: the head ends at %d, want %d", name, end, len(head))
		}
	}
}

func TestEndIsFoundInPieces(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"
	for n := range len(head) {
		if end := End([]byte(head[:n]), 0); end != -1 {
			t.Fatalf("the end is found at %d of the first %d bytes", end, n)
		}
		if end := End([]byte(head+"\r\n\r\n"), n); end != len(head) {
			t.Fatalf("after %d bytes: the head ends at %d, want %d", n, end, len(head))
		}
	}
}

// pieces is a connection on which the content arrives in pieces of the given size.
type pieces struct {
	net.Conn
	content string
	size    int
}

func (c *pieces) Read(p []byte) (int, error) {
	if c.content == "" {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), c.size)], c.content)
	c.content = c.content[n:]
	return n, nil
}

func TestConnRefusesMalformedHeads(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	read := func(content string, size int) (string, error) {
		c := NewConn(&pieces{content: content, size: size})
		br := bufio.NewReader(c)
		for {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				return "", err
			}
			if resp.StatusCode < firstFinalStatus && resp.StatusCode >= http.StatusContinue {
				continue
			}
			body, err := io.ReadAll(resp.Body)
			return string(body), err
		}
	}
	for _, size := range []int{1, 7, 4096} {
		for name, head := range malformedHeads {
			for prefix := range map[string]bool{"": true, interim: true} {
				if body, err := read(prefix+head+"ok", size); err == nil {
					t.Errorf("%s, pieces of %d: got body %q, want an error", name, size, body)
				}
			}
		}
		if body, err := read(interim+soundHeads["usual"]+"ok", size); err != nil || body != "ok" {
			t.Errorf("pieces of %d: got body %q, error %v", size, body, err)
		}
		if _, err := read("HTTP/1.1 200 OK\r\n"+strings.Repeat("X-A: b\r\n", maxHeadBytes/4), size); err == nil || errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("endless head, pieces of %d: got error %v, want one before its end", size, err)
		}
	}
}

func TestCheckTrailer(t *testing.T) {
	if err := CheckTrailer(http.Header{"X-A ": {"b"}}); !errors.Is(err, ErrMalformed) {
		t.Errorf("got error %v, want ErrMalformed", err)
	}
	if err := CheckTrailer(http.Header{"X-A": {"b"}}); err != nil {
		t.Error(err)
	}
}

// FuzzCheckResponse checks that an accepted head parses, and ends where End finds its end.
func FuzzCheckResponse(f *testing.F) {
	for _, head := range malformedHeads {
		f.Add([]byte(head))
	}
	for _, head := range soundHeads {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		end := End(data, 0)
		if end < 0 || CheckResponse(data[:end]) != nil {
			return
		}
		br := bufio.NewReaderSize(bytes.NewReader(data[:end]), max(16, end))
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodHead})
		if err != nil {
			return // the parser refuses more
		}
		if resp.StatusCode != StatusOf(data) || br.Buffered() > 0 {
			t.Errorf("%q: status %d, %d bytes unread", data[:end], resp.StatusCode, br.Buffered())
		}
	})
}
