package ingress

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
)

// FuzzHead shows that a head that is accepted has one meaning: it parses, names at
// most one length, and ends where the empty line is.
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
			return // refused a step later
		}
		lower := strings.ToLower(string(head))
		if strings.Count(lower, "\ncontent-length:")+strings.Count(lower, "\ntransfer-encoding:") > 1 {
			t.Errorf("two lengths were accepted: %q", head)
		}
		if br.Buffered() > 0 {
			t.Errorf("%d bytes of the head were not read: %q", br.Buffered(), head)
		}
		if !strings.HasPrefix(request.RequestURI, "/") {
			t.Errorf("target %q", request.RequestURI)
		}
	})
}

func TestCheckHead(t *testing.T) {
	const begin = "POST /a HTTP/1.1\r\nHost: a\r\n"
	for head, sound := range map[string]bool{
		begin + "\r\n":                                                    true,
		begin + "Content-Length: 12\r\n\r\n":                              true,
		begin + "Transfer-Encoding: Chunked\r\n\r\n":                      true,
		begin + "Content-Length: 12, 12\r\n\r\n":                          false,
		begin + "Content-Length:\r\n\r\n":                                 false,
		begin + "Transfer-Encoding: gzip, chunked\r\n\r\n":                false,
		begin + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n": false,
		begin + ": no name\r\n\r\n":                                       false,
		"POST  /a HTTP/1.1\r\nHost: a\r\n\r\n":                            false,
		"POST /a HTTP/2.0\r\nHost: a\r\n\r\n":                             false,
		"POST /a HTTP/1.1\r\n\r\n":                                        false,
	} {
		if fault := checkHead([]byte(head)); (fault == "") != sound {
			t.Errorf("%q: %q", head, fault)
		}
	}
}
