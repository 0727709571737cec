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

// The benchmarks compare two protocols for streams from an agent to an entry:
// net/rpc reads from an offset, and HTTP/2 responses. One operation is one
// chunk of one of the streams; each chunk is sent after the previous chunk of
// its stream has arrived.

const (
	benchStreams    = 64
	benchChunkBytes = 180
)

// chunkService is an RPC service that returns one chunk for each call of Read.
type chunkService struct{}

type ReadChunk struct{ Offset int }

type Chunk struct{ Data []byte }

func (chunkService) Read(_ ReadChunk, reply *Chunk) error {
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
	if err := s.Register("Chunks", chunkService{}); err != nil {
		b.Fatal(err)
	}
	go s.Serve(l)
	p := NewPool(DefaultConfig())
	defer p.Close()
	b.ReportAllocs()
	runStreams(b, func(n int) {
		for i := range n {
			var reply Chunk
			if err := p.Call(context.Background(), l.Addr().String(), "Chunks.Read", ReadChunk{Offset: i}, &reply); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkStreamByHTTP2 requests each chunk by one byte in the request body,
// so that the chunks of a stream are not sent together.
func BenchmarkStreamByHTTP2(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(serveChunks)}
	go server.Serve(l)
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	b.ReportAllocs()
	runStreams(b, func(n int) {
		requestBody, chunkRequests := io.Pipe()
		request, _ := http.NewRequest(http.MethodPost, "http://"+l.Addr().String()+"/?n="+strconv.Itoa(n), requestBody)
		response, err := client.Do(request)
		if err != nil {
			b.Error(err)
			return
		}
		defer response.Body.Close()
		chunk := make([]byte, benchChunkBytes)
		for range n {
			chunkRequests.Write([]byte{1})
			if _, err := io.ReadFull(response.Body, chunk); err != nil {
				b.Error(err)
				return
			}
		}
		chunkRequests.Close()
	})
}

// serveChunks writes one chunk for each byte of the request body.
func serveChunks(w http.ResponseWriter, r *http.Request) {
	flusher := w.(http.Flusher)
	flusher.Flush()
	chunk := make([]byte, benchChunkBytes)
	chunkRequest := make([]byte, 1)
	for {
		if _, err := io.ReadFull(r.Body, chunkRequest); err != nil {
			return
		}
		w.Write(chunk)
		flusher.Flush()
	}
}

// runStreams runs the benchmark's streams concurrently, with the operations
// divided among them.
func runStreams(b *testing.B, stream func(n int)) {
	var group sync.WaitGroup
	for range benchStreams {
		group.Go(func() { stream(b.N/benchStreams + 1) })
	}
	group.Wait()
}
