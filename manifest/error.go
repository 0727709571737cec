package manifest

import (
	"fmt"
	"strings"
)

// maxProblems is the largest number of problems that one Error lists.
const maxProblems = 100

// Problem is one reason why a document is not valid.
type Problem struct {
	// Path is the path of the field, such as classes[2].tier. It is empty when
	// the problem concerns the whole document.
	Path string `json:"path"`
	// Line is the line of the field or, when the field is missing, of the field
	// that should contain it. It is 0 when the problem concerns the whole
	// document.
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

// Error lists the problems of a document that is not valid, at most
// maxProblems of them.
type Error struct {
	Problems []Problem
	// Omitted is the number of problems that were found when the list was already
	// full. Parse skips some checks then, so there may be more.
	Omitted int
}

// Error returns the problems in one line.
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

// report collects the problems of one document.
type report struct {
	problems []Problem
	omitted  int
	// lines maps the path of each field to its line.
	lines map[string]int
	// undecoded are the paths of values that have the wrong type. The decoded
	// manifest has zero values in their place.
	undecoded []string
}

func newReport() *report {
	return &report{lines: make(map[string]int)}
}

// add records a problem of the field at path. It ignores a problem at, above or
// below a value that was not decoded, since the zero value in its place may be the
// cause.
func (r *report) add(path, format string, args ...any) {
	if len(r.problems) == maxProblems {
		r.omitted++
		return
	}
	for _, outer := range r.undecoded {
		if isAtOrBelow(path, outer) || isAtOrBelow(outer, path) {
			return
		}
	}
	r.problems = append(r.problems, Problem{Path: path, Line: r.line(path), Message: fmt.Sprintf(format, args...)})
}

// isAtOrBelow reports whether path is outer or a path below it.
func isAtOrBelow(path, outer string) bool {
	rest, below := strings.CutPrefix(path, outer)
	return below && (outer == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
}

// line returns the line of the field or of the nearest enclosing field, or 0.
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
