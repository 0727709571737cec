package ingress

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// FuzzHead checks that an accepted request head is unambiguous: it parses, has at
// most one body length, and ends at the first empty line.
func FuzzHead(f *testing.F) {
	for _, head := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST /a?b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: a\r\ncontent-length: 5\r\nContent-Length: 6\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: a\r\n X: y\r\n\r\n",
		"GET /\x00 HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		end := bytes.Index(data, []byte("\r\n\r\n"))
		if end < 0 {
			return
		}
		head := data[:end+4]
		if checkHead(head) != "" {
			return
		}
		br := bufio.NewReaderSize(bytes.NewReader(head), len(head)+16)
		request, err := http.ReadRequest(br)
		if err != nil {
			return // conn refuses such a request after checkHead
		}
		lower := strings.ToLower(string(head))
		if strings.Count(lower, "\ncontent-length:")+strings.Count(lower, "\ntransfer-encoding:") > 1 {
			t.Errorf("accepted a head with two body lengths: %q", head)
		}
		if br.Buffered() > 0 {
			t.Errorf("parser left %d bytes of the head unread: %q", br.Buffered(), head)
		}
		if !strings.HasPrefix(request.RequestURI, "/") {
			t.Errorf("accepted a target without a leading slash: %q", request.RequestURI)
		}
	})
}

func TestCheckHeadAcceptsOnlyUnambiguousHeads(t *testing.T) {
	const start = "POST /a HTTP/1.1\r\nHost: a\r\n"
	for head, valid := range map[string]bool{
		start + "\r\n":                                                    true,
		start + "Content-Length: 12\r\n\r\n":                              true,
		start + "Transfer-Encoding: Chunked\r\n\r\n":                      true,
		start + "Content-Length: 12, 12\r\n\r\n":                          false,
		start + "Content-Length:\r\n\r\n":                                 false,
		start + "Transfer-Encoding: gzip, chunked\r\n\r\n":                false,
		start + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n": false,
		start + ": no name\r\n\r\n":                                       false,
		"POST  /a HTTP/1.1\r\nHost: a\r\n\r\n":                            false,
		"POST /a HTTP/2.0\r\nHost: a\r\n\r\n":                             false,
		"POST /a HTTP/1.1\r\n\r\n":                                        false,
	} {
		if problem := checkHead([]byte(head)); (problem == "") != valid {
			t.Errorf("%q: got problem %q", head, problem)
		}
	}
}
