package ingress

import (
	"bytes"
	"strings"
)

// checkHead detects request heads that two HTTP implementations could parse
// differently: if they disagree on where a request ends, one of them takes body bytes
// for another request (request smuggling). It returns the problem, or "" if there is
// none.
func checkHead(head []byte) string {
	lines := bytes.Split(bytes.TrimSuffix(head, []byte("\r\n\r\n")), []byte("\r\n"))
	if problem := checkRequestLine(lines[0]); problem != "" {
		return problem
	}
	lengths, encodings, hosts := 0, 0, 0
	for _, line := range lines[1:] {
		if len(line) == 0 || line[0] == ' ' || line[0] == '\t' {
			return "a header line is folded"
		}
		if bytes.IndexByte(line, '\n') >= 0 || bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, 0) >= 0 {
			return "a header line has a control character"
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return "a header line has no name"
		}
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
			if !isDecimalNumber(bytes.TrimSpace(value)) {
				return "the content length is not a number"
			}
		case "transfer-encoding":
			encodings++
			if !strings.EqualFold(string(bytes.TrimSpace(value)), "chunked") {
				return "the transfer encoding is not known"
			}
		case "host":
			hosts++
		}
	}
	if lengths+encodings > 1 {
		return "the head has more than one length"
	}
	if hosts != 1 {
		return "the head must name one host"
	}
	return ""
}

// checkRequestLine returns the problem with a request line, or "" if the line has
// the form "METHOD /target HTTP/1.1" (or HTTP/1.0).
func checkRequestLine(line []byte) string {
	parts := bytes.Split(line, []byte(" "))
	if len(parts) != 3 || len(parts[0]) == 0 {
		return "the request line is malformed"
	}
	if len(parts[1]) == 0 || parts[1][0] != '/' {
		return "the target must begin with a slash"
	}
	if !bytes.Equal(parts[2], []byte("HTTP/1.1")) && !bytes.Equal(parts[2], []byte("HTTP/1.0")) {
		return "the version is not HTTP/1.1"
	}
	for _, b := range line {
		if b < ' ' || b == 0x7f {
			return "the request line has a control character"
		}
	}
	return ""
}

// isDecimalNumber reports whether text consists of 1 to 15 decimal digits. Such a
// number always fits in an int64.
func isDecimalNumber(text []byte) bool {
	for _, b := range text {
		if b < '0' || b > '9' {
			return false
		}
	}
	return len(text) > 0 && len(text) < 16
}
