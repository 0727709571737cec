package testbed

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	listenPort = 9000
	// addressTries bounds the search for an address that is free.
	addressTries = 100
)

// FreeAddress returns an address that nobody listens on. Each has a loopback
// IP number of its own, so that no outgoing connection takes its port while
// the process that owns it is down.
func FreeAddress() (string, error) {
	for range addressTries {
		ip := net.IPv4(127, byte(1+rand.IntN(250)), byte(rand.IntN(256)), byte(1+rand.IntN(250)))
		address := net.JoinHostPort(ip.String(), strconv.Itoa(listenPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		return address, nil
	}
	return "", eris.New("testbed: no free address")
}
