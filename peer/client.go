package peer

import (
	"context"
	"io"
	"net/rpc"

	"github.com/sesameswitch/sesameswitch/ring"
)

// sendQueueSize is the maximum number of calls that wait to be written to one
// connection.
const sendQueueSize = 16384

// rpcClient sends calls over an open connection. One goroutine encodes and
// writes the calls of the send queue; heartbeats are written directly. Pool.Call
// therefore only waits for the reply and returns when its context ends, even
// while the peer reads no bytes, and the goroutines that call it need no stack
// space for the encoder.
type rpcClient struct {
	*rpc.Client
	sendQueue *ring.Ring[*rpc.Call]
}

func newRPCClient(c io.ReadWriteCloser) *rpcClient {
	client := &rpcClient{Client: rpc.NewClient(c), sendQueue: ring.New[*rpc.Call](sendQueueSize)}
	go client.sendCalls()
	return client
}

// sendCalls sends the queued calls until the send queue is closed.
func (c *rpcClient) sendCalls() {
	for {
		call, ok := c.sendQueue.Pop(context.Background())
		if !ok {
			return
		}
		c.Go(call.ServiceMethod, call.Args, call.Reply, call.Done)
	}
}

// shutdown closes the connection; queued calls fail.
func (c *rpcClient) shutdown() {
	c.sendQueue.Close()
	_ = c.Close() // an error means that the connection was closed already
}
