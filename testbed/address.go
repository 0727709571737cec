package testbed

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// listenPort is the port of all addresses; they differ in their IP address.
	listenPort = 9000
	// reservationPort is the UDP port that is bound on the IP address of each
	// address that was handed out.
	reservationPort = 9001
	// maxAddressAttempts is the maximum number of random addresses to try.
	maxAddressAttempts = 100
)

// reservations holds the sockets that reserve the addresses handed out by this
// process until it ends.
var reservations struct {
	mu    sync.Mutex
	conns []*net.UDPConn
}

// FreeAddress returns an address that no other call returns while this process
// runs, in any process. Its IP address is a random one of the loopback network,
// never one below 127.1.0.0. Outgoing connections over loopback come from 127.0.0.1,
// so that none takes the port while the process that uses the address is not
// running.
//
// The address is reserved by another port of its IP address. No socket is ever
// opened on the port itself: a program that another goroutine starts holds a copy
// of each open socket until it is executed, so that closing one does not free it.
func FreeAddress() (string, error) {
	var lastErr error
	for range maxAddressAttempts {
		ip := net.IPv4(127, byte(1+rand.IntN(250)), byte(rand.IntN(256)), byte(1+rand.IntN(250)))
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: ip, Port: reservationPort})
		if err != nil {
			lastErr = err
			continue
		}
		reservations.mu.Lock()
		reservations.conns = append(reservations.conns, conn)
		reservations.mu.Unlock()
		return net.JoinHostPort(ip.String(), strconv.Itoa(listenPort)), nil
	}
	return "", eris.Wrap(lastErr, "testbed: found no free loopback address")
}
