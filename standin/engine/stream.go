package engine

import (
	"net/http"
	"strconv"

	"github.com/sesameswitch/sesameswitch/standin/internal/control"
)

// writeStream writes the response as server-sent events, one for each token.
func (rw *responseWriter) writeStream() {
	header := rw.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	rw.writer.WriteHeader(http.StatusOK)
	if rw.flush() != nil {
		return
	}
	prefix := rw.chunkPrefix()
	buffer := make([]byte, 0, 1024)
	for sent := rw.run.firstToken; sent < rw.run.totalTokens; {
		produced := rw.awaitTokens(sent)
		if produced < 0 {
			control.Abort()
		}
		buffer = rw.appendChunks(buffer[:0], prefix, sent, produced)
		if !rw.send(buffer) {
			return
		}
		sent = produced
	}
	rw.writeEnd(buffer[:0], prefix)
}

// send writes and flushes the chunks. It returns false if the caller has
// disconnected.
func (rw *responseWriter) send(chunks []byte) bool {
	if _, err := rw.writer.Write(chunks); err != nil {
		return false
	}
	return rw.flush() == nil
}

// chunkPrefix returns the common prefix of all chunks of the stream, beginning
// with the data field of the event.
func (rw *responseWriter) chunkPrefix() []byte {
	prefix := []byte(`data: {"id":`)
	prefix = strconv.AppendQuote(prefix, rw.id)
	prefix = append(prefix, `,"object":"chat.completion.chunk","created":0,"model":`...)
	prefix = strconv.AppendQuote(prefix, rw.model)
	return append(prefix, `,"choices":[{"index":0,"delta":{`...)
}

// appendChunks appends the chunks of the tokens from first up to, but excluding, end.
// If the fault TruncateAfter applies to one of them, it sends the chunks before that
// token and drops the connection.
func (rw *responseWriter) appendChunks(buffer, prefix []byte, first, end int) []byte {
	faults := rw.server.faults.Load()
	for i := first; i < end; i++ {
		if faults.TruncateAfter > 0 && i >= faults.TruncateAfter {
			rw.send(buffer)
			control.Abort()
		}
		buffer = rw.appendChunk(buffer, prefix, i)
		if faults.DuplicateChunk == i+1 {
			buffer = rw.appendChunk(buffer, prefix, i)
		}
	}
	return buffer
}

// appendChunk appends the chunk of token i, with i as the ID of the event.
func (rw *responseWriter) appendChunk(buffer, prefix []byte, i int) []byte {
	buffer = append(buffer, "id: "...)
	buffer = strconv.AppendInt(buffer, int64(i), 10)
	buffer = append(buffer, '\n')
	buffer = append(buffer, prefix...)
	if i == 0 {
		buffer = append(buffer, `"role":"assistant",`...)
	}
	buffer = append(buffer, `"content":"`...)
	buffer = append(buffer, tokenText(rw.promptHash, i)...)
	return append(buffer, `"},"finish_reason":null}]}`+"\n\n"...)
}

// writeEnd writes the last chunk, with the token counts, and the end marker unless the
// fault OmitDone is set.
func (rw *responseWriter) writeEnd(buffer, prefix []byte) {
	buffer = append(buffer, prefix...)
	buffer = append(buffer, `},"finish_reason":"stop"}],"usage":{"prompt_tokens":`...)
	buffer = strconv.AppendInt(buffer, int64(rw.run.promptTokens), 10)
	buffer = append(buffer, `,"completion_tokens":`...)
	buffer = strconv.AppendInt(buffer, int64(rw.run.totalTokens), 10)
	buffer = append(buffer, `,"total_tokens":`...)
	buffer = strconv.AppendInt(buffer, int64(rw.run.promptTokens+rw.run.totalTokens), 10)
	buffer = append(buffer, "}}\n\n"...)
	if !rw.server.faults.Load().OmitDone {
		buffer = append(buffer, "data: [DONE]\n\n"...)
	}
	rw.send(buffer)
}
