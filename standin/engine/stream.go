package engine

import (
	"net/http"
	"strconv"

	"github.com/sesameswitch/sesameswitch/standin/internal/control"
)

// stream writes the answer as server-sent events, one for each token.
func (a *answer) stream() {
	header := a.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	a.writer.WriteHeader(http.StatusOK)
	if a.flush() != nil {
		return
	}
	head := a.chunkHead()
	buffer := make([]byte, 0, 1024)
	for sent := a.run.from; sent < a.run.total; {
		produced := a.await(sent)
		if produced < 0 {
			control.Abort()
		}
		buffer = a.appendChunks(buffer[:0], head, sent, produced)
		if !a.send(buffer) {
			return
		}
		sent = produced
	}
	a.end(buffer[:0], head)
}

// send writes the chunks at once; it returns false when the caller has gone.
func (a *answer) send(chunks []byte) bool {
	if _, err := a.writer.Write(chunks); err != nil {
		return false
	}
	return a.flush() == nil
}

// chunkHead returns what all chunks of the stream start with.
func (a *answer) chunkHead() []byte {
	head := []byte(`data: {"id":`)
	head = strconv.AppendQuote(head, a.id)
	head = append(head, `,"object":"chat.completion.chunk","created":0,"model":`...)
	head = strconv.AppendQuote(head, a.model)
	return append(head, `,"choices":[{"index":0,"delta":{`...)
}

// appendChunks appends the chunks of the tokens from first up to end. A
// truncation fault sends what lies before it and drops the connection.
func (a *answer) appendChunks(buffer, head []byte, first, end int) []byte {
	faults := a.server.faults.Load()
	for i := first; i < end; i++ {
		if faults.TruncateAfter > 0 && i >= faults.TruncateAfter {
			a.send(buffer)
			control.Abort()
		}
		buffer = a.appendChunk(buffer, head, i)
		if faults.DuplicateChunk == i+1 {
			buffer = a.appendChunk(buffer, head, i)
		}
	}
	return buffer
}

func (a *answer) appendChunk(buffer, head []byte, i int) []byte {
	buffer = append(buffer, "id: "...)
	buffer = strconv.AppendInt(buffer, int64(i), 10)
	buffer = append(buffer, '\n')
	buffer = append(buffer, head...)
	if i == 0 {
		buffer = append(buffer, `"role":"assistant",`...)
	}
	buffer = append(buffer, `"content":"`...)
	buffer = append(buffer, tokenOf(a.sum, i)...)
	return append(buffer, `"},"finish_reason":null}]}`+"\n\n"...)
}

// end writes the last chunk and the end marker.
func (a *answer) end(buffer, head []byte) {
	buffer = append(buffer, head...)
	buffer = append(buffer, `},"finish_reason":"stop"}],"usage":{"prompt_tokens":`...)
	buffer = strconv.AppendInt(buffer, int64(a.run.tokens), 10)
	buffer = append(buffer, `,"completion_tokens":`...)
	buffer = strconv.AppendInt(buffer, int64(a.run.total), 10)
	buffer = append(buffer, `,"total_tokens":`...)
	buffer = strconv.AppendInt(buffer, int64(a.run.tokens+a.run.total), 10)
	buffer = append(buffer, "}}\n\n"...)
	if !a.server.faults.Load().OmitDone {
		buffer = append(buffer, "data: [DONE]\n\n"...)
	}
	a.send(buffer)
}
