package upstream

import "io"

// headReader reads from a connection. While it is limited, it returns ErrHeadTooLarge
// when a number of bytes has been read: http.ReadResponse itself reads a head of any size.
type headReader struct {
	r       io.Reader
	limited bool
	// remaining is the number of bytes that may be read while limited.
	remaining int64
	// exceeded reports whether more bytes were wanted while limited. The error of the
	// reader's user may not show it: a line that is cut may be invalid.
	exceeded bool
}

// limit allows n more bytes.
func (h *headReader) limit(n int64) { h.limited, h.remaining = true, n }

// unlimit ends the limit.
func (h *headReader) unlimit() { h.limited = false }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.limited {
		return h.r.Read(p)
	}
	if h.remaining <= 0 {
		h.exceeded = true
		return 0, ErrHeadTooLarge
	}
	n, err := h.r.Read(p[:min(int64(len(p)), h.remaining)])
	h.remaining -= int64(n)
	return n, err
}
