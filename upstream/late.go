package upstream

import (
	"net"
	"time"
)

// lateResponseTime is how long after the end of a request the head of its response
// is awaited. A server that refuses a request at its deadline does so as much later
// than the gateway gives up as the request was under way.
const lateResponseTime = 150 * time.Millisecond

// cancel ends the exchange when its context has ended: reads fail.
func (e *Exchange) cancel() {
	if e.headRead.Load() {
		e.conn.nc.Close()
		return
	}
	_ = e.conn.nc.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// awaitLateResponse reports the head of the response if it arrives soon, and closes the
// connection. If the request was cancelled, it closes the sending side first, so that the
// server stops working on the request.
func (e *Exchange) awaitLateResponse(r *Request, cancelled bool) {
	defer e.Abort()
	_ = e.conn.nc.SetReadDeadline(time.Now().Add(lateResponseTime)) // fails only on a closed connection
	if tcp, ok := e.conn.nc.(*net.TCPConn); ok && cancelled && tcp.CloseWrite() != nil {
		return
	}
	if err := e.readResponseHead(r); err == nil {
		r.OnLateResponse(e.Response.StatusCode, e.Response.Header)
	}
}
