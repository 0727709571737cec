package testbed

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	listenPort = 9000
	// maxAddressAttempts is the maximum number of random addresses to try.
	maxAddressAttempts = 100
)

// FreeAddress returns an address on which no process listens. Its IP address is
// chosen randomly from the loopback network, so that no outgoing connection takes
// its port while the process that uses the address is not running.
func FreeAddress() (string, error) {
	for range maxAddressAttempts {
		ip := net.IPv4(127, byte(1+rand.IntN(250)), byte(rand.IntN(256)), byte(1+rand.IntN(250)))
		address := net.JoinHostPort(ip.String(), strconv.Itoa(listenPort))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		return address, nil
	}
	return "", eris.New("testbed: found no free loopback address")
}
