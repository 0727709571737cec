// Package httphead checks the heads of HTTP/1 responses before they are parsed.
//
// The parser of net/http accepts heads that are no HTTP: status 000, blanks in or before the
// name of a field, folded lines, chunks in a response of HTTP/1.0. It then takes framing fields
// for other ones, and their body for one of another length. Callers may assume of a head that
// CheckResponse accepts that each line has one meaning, and that the length of the body is
// stated at most once.
package httphead

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is the cause of all errors of this package.
var ErrMalformed = eris.New("malformed response head")

func malformed(problem string) error { return eris.Wrap(ErrMalformed, problem) }

// End returns the length of the response head that begins the data, including its final empty
// line, or -1 if the head is not complete. from is the length of the data of an earlier call in
// which the head was not complete; zero if there was none.
func End(data []byte, from int) int {
	for i := max(0, from-len("\n\r")); i < len(data); i++ {
		if data[i] != '\n' {
			continue
		}
		rest := data[i+1:]
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			return i + len("\n\r\n")
		}
		if bytes.HasPrefix(rest, []byte("\n")) {
			return i + len("\n\n")
		}
	}
	return -1
}

// CheckResponse returns an error that wraps ErrMalformed unless the head, which ends with an
// empty line, is that of an HTTP/1.0 or HTTP/1.1 response (RFC 9112). Responses that switch to
// another protocol are refused, too: no request asks for it.
func CheckResponse(head []byte) error {
	line, rest, _ := bytes.Cut(head, []byte("\n"))
	line = trimCR(line)
	if err := checkStatusLine(line); err != nil {
		return err
	}
	var f framing
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if line = trimCR(line); len(line) == 0 {
			break
		}
		if err := f.addField(line); err != nil {
			return err
		}
	}
	return f.check(head[len("HTTP/1.")] == '0')
}

func trimCR(line []byte) []byte { return bytes.TrimSuffix(line, []byte("\r")) }

// StatusOf returns the status of a head that CheckResponse accepts.
func StatusOf(head []byte) int {
	status := 0
	for _, digit := range head[len("HTTP/1.1 "):len("HTTP/1.1 200")] {
		status = 10*status + int(digit-'0')
	}
	return status
}

// checkStatusLine checks a line of the form "HTTP/1.1 200 OK" or "HTTP/1.1 200".
func checkStatusLine(line []byte) error {
	const shortest = len("HTTP/1.1 200")
	if len(line) < shortest || !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) && !bytes.HasPrefix(line, []byte("HTTP/1.0 ")) {
		return malformed("the status line does not begin with the version of HTTP and a status")
	}
	for _, digit := range line[shortest-3 : shortest] {
		if digit < '0' || digit > '9' {
			return malformed("the status is not a number of three digits")
		}
	}
	if len(line) > shortest && line[shortest] != ' ' {
		return malformed("the status is not a number of three digits")
	}
	if !httpguts.ValidHeaderFieldValue(string(line[shortest:])) {
		return malformed("the reason phrase has a control character")
	}
	switch status := StatusOf(line); {
	case status < http.StatusContinue || status > maxStatus:
		return malformed("the status is out of range")
	case status == http.StatusSwitchingProtocols:
		return malformed("the response switches to another protocol")
	}
	return nil
}

// maxStatus is the highest status that RFC 9110 allows.
const maxStatus = 599

// framing holds what the fields of a head state about the length of its body.
type framing struct {
	lengths, encodings []string
}

// addField checks the line of a field.
func (f *framing) addField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !httpguts.ValidHeaderFieldName(string(name)) {
		return malformed("a line has no valid field name")
	}
	text := string(bytes.Trim(value, " \t"))
	if !httpguts.ValidHeaderFieldValue(text) {
		return malformed("the value of a field has a control character")
	}
	switch {
	case strings.EqualFold(string(name), "Content-Length"):
		f.lengths = append(f.lengths, text)
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		f.encodings = append(f.encodings, text)
	}
	return nil
}

// check checks the fields together.
func (f *framing) check(http10 bool) error {
	switch {
	case len(f.lengths)+len(f.encodings) > 1:
		return malformed("the length of the body is stated more than once")
	case len(f.encodings) > 0 && http10:
		return malformed("a response of HTTP/1.0 has a transfer encoding")
	}
	return nil
}

// CheckTrailer returns an error that wraps ErrMalformed if the name of a field of a parsed
// trailer is not valid.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return malformed("the trailer has no valid field name")
		}
	}
	return nil
}
