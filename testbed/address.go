package testbed

import (
	"net"

	"github.com/rotisserie/eris"
)

// FreeAddress returns a loopback address whose port nobody listens on. The
// port can be taken by somebody else before it is used.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "testbed: no free port")
	}
	defer l.Close()
	return l.Addr().String(), nil
}
