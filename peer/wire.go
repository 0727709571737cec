package peer

import (
	"context"
	"io"
	"net/rpc"

	"github.com/sesameswitch/sesameswitch/ring"
)

// sendRingSize bounds the calls that wait to be written to one connection.
const sendRingSize = 16384

// wire is an open connection. One goroutine writes its calls: a caller waits
// for its answer only, however long the peer takes no bytes, and its stack
// need not hold the encoder.
type wire struct {
	*rpc.Client
	sends *ring.Ring[*rpc.Call]
}

func newWire(c io.ReadWriteCloser) *wire {
	w := &wire{Client: rpc.NewClient(c), sends: ring.New[*rpc.Call](sendRingSize)}
	go w.write()
	return w
}

// write sends the queued calls until the wire is closed.
func (w *wire) write() {
	for {
		call, ok := w.sends.Pop(context.Background())
		if !ok {
			return
		}
		w.Go(call.ServiceMethod, call.Args, call.Reply, call.Done)
	}
}

// end closes the connection; queued calls fail.
func (w *wire) end() {
	w.sends.Close()
	_ = w.Close() // it only fails when the connection has ended already
}
