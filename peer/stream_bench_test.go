package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
)

// The benchmarks compare two ways to bring streams from an agent to an entry:
// reads from an offset by net/rpc, and HTTP/2 responses. One operation is one
// chunk of one of the streams, sent after the chunk before it has arrived.

const (
	benchStreams    = 64
	benchChunkBytes = 180
)

type chunks struct{}

type ReadChunk struct{ Offset int }

type Chunk struct{ Data []byte }

func (chunks) Read(_ ReadChunk, reply *Chunk) error {
	reply.Data = make([]byte, benchChunkBytes)
	return nil
}

func BenchmarkStreamByOffsetReads(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	s := NewServer(DefaultConfig())
	if err := s.Register("Chunks", chunks{}); err != nil {
		b.Fatal(err)
	}
	go s.Serve(l)
	p := NewPool(DefaultConfig())
	defer p.Close()
	b.ReportAllocs()
	inParallel(b, func(n int) {
		for i := range n {
			var reply Chunk
			if err := p.Call(context.Background(), l.Addr().String(), "Chunks.Read", ReadChunk{Offset: i}, &reply); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkStreamByHTTP2 paces each stream by small requests of its own on the
// other direction of the stream, so that chunks are not sent in one piece.
func BenchmarkStreamByHTTP2(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(echoChunks)}
	go server.Serve(l)
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	b.ReportAllocs()
	inParallel(b, func(n int) {
		up, write := io.Pipe()
		request, _ := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/?n="+strconv.Itoa(n), up)
		response, err := client.Do(request)
		if err != nil {
			b.Error(err)
			return
		}
		defer response.Body.Close()
		chunk := make([]byte, benchChunkBytes)
		for range n {
			write.Write([]byte{1})
			if _, err := io.ReadFull(response.Body, chunk); err != nil {
				b.Error(err)
				return
			}
		}
		write.Close()
	})
}

func echoChunks(w http.ResponseWriter, r *http.Request) {
	flusher := w.(http.Flusher)
	flusher.Flush()
	chunk := make([]byte, benchChunkBytes)
	next := make([]byte, 1)
	for {
		if _, err := io.ReadFull(r.Body, next); err != nil {
			return
		}
		w.Write(chunk)
		flusher.Flush()
	}
}

func inParallel(b *testing.B, stream func(n int)) {
	var all sync.WaitGroup
	for range benchStreams {
		all.Go(func() { stream(b.N/benchStreams + 1) })
	}
	all.Wait()
}
