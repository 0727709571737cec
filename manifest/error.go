package manifest

import (
	"fmt"
	"strings"
)

// maxProblems bounds the problems that one Error lists.
const maxProblems = 100

// Problem is one fault of a document.
type Problem struct {
	// Path leads to the field, such as classes[2].tier; it is empty when the
	// document as a whole is at fault.
	Path string `json:"path"`
	// Line is the line of the field, or of the field that should hold it; 0
	// when the document as a whole is at fault.
	Line    int    `json:"line,omitempty"`
	Message string `json:"message"`
}

// String returns the path and the message.
func (p Problem) String() string {
	if p.Path == "" {
		return p.Message
	}
	return p.Path + ": " + p.Message
}

// Error says why a document is not valid: all its problems together, up to a
// bound.
type Error struct {
	Problems []Problem
	// Omitted counts the problems beyond the bound.
	Omitted int
}

// Error lists the problems in one line.
func (e *Error) Error() string {
	texts := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		texts = append(texts, p.String())
	}
	text := "manifest: " + strings.Join(texts, "; ")
	if e.Omitted > 0 {
		text += fmt.Sprintf("; and %d more", e.Omitted)
	}
	return text
}

// report gathers the problems of one document.
type report struct {
	problems []Problem
	omitted  int
	// lines maps the path of each field to its line.
	lines map[string]int
	// undecoded are the paths of values of another type, which are taken as zero.
	undecoded []string
}

func newReport() *report {
	return &report{lines: make(map[string]int)}
}

// add notes a problem of the field at path, unless it may only come from a
// value that was not read.
func (r *report) add(path, format string, args ...any) {
	if len(r.problems) == maxProblems {
		r.omitted++
		return
	}
	for _, unread := range r.undecoded {
		if inside(path, unread) || inside(unread, path) {
			return
		}
	}
	r.problems = append(r.problems, Problem{Path: path, Line: r.line(path), Message: fmt.Sprintf(format, args...)})
}

// inside reports whether path is at or below outer.
func inside(path, outer string) bool {
	rest, below := strings.CutPrefix(path, outer)
	return below && (outer == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
}

// line returns the line of the field or of the nearest field around it.
func (r *report) line(path string) int {
	for {
		if line, ok := r.lines[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 0
		}
		path = path[:cut]
	}
}

// err returns the problems as an error, or nil when there are none.
func (r *report) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	return &Error{Problems: r.problems, Omitted: r.omitted}
}
