package membudget

import (
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

// Errors of ReadBody.
var (
	// ErrTooLarge means that a body is longer than its limit.
	ErrTooLarge = eris.New("membudget: body too large")
	// ErrNoRoom means that there is no memory for a body.
	ErrNoRoom = eris.New("membudget: no room for the body")
)

// firstBufferBytes is the size of the first buffer for a body.
const firstBufferBytes = 16 << 10

// ReadBody reads a body of at most limit bytes to its end. Its buffer grows with what has arrived,
// whatever length was announced, and the claim with the buffer. announced is negative if the
// length is not known. After an error the claim keeps what it holds until Release.
func ReadBody(claim *Claim, body io.Reader, announced int64, limit int) ([]byte, error) {
	if announced == 0 {
		return nil, nil
	}
	largest := limit + 1 // shows that the body is too large
	if announced > 0 && announced <= int64(limit) {
		largest = int(announced)
	}
	var content []byte
	for {
		if len(content) == cap(content) {
			size := min(max(firstBufferBytes, 2*cap(content)), largest)
			if size == len(content) {
				size++ // the next read finds the end
			}
			if !claim.Replace(int64(cap(content)), int64(size)) {
				return nil, ErrNoRoom
			}
			grown := make([]byte, len(content), size)
			copy(grown, content)
			claim.Shrink(int64(cap(content)))
			content = grown
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		claim.Received(n)
		switch {
		case len(content) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return content, nil
		case err != nil:
			return nil, err
		}
	}
}
