package testbed

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/rotisserie/eris"
)

const (
	// listenPort is the port of all addresses; they differ in their IP address.
	listenPort = 9000
	// maxAddressAttempts is the maximum number of random addresses to try.
	maxAddressAttempts = 100
)

// FreeAddress returns an address on which no process listens. Its IP address is a
// random one of the loopback network, never one below 127.1.0.0. Outgoing connections
// over loopback come from 127.0.0.1, so that none takes the port while the process
// that uses the address is not running. The address is not reserved: another process
// can take it first.
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
