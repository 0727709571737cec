package timeline

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// HeaderOverwritten carries how many events the process has overwritten.
const HeaderOverwritten = "Sesame-Timeline-Overwritten"

// batchEvents bounds the events that one step of an answer copies.
const batchEvents = 256

// Handler serves the events as JSON lines. Query parameters: since (only
// events with a higher number), request (only events of that request), follow
// (true keeps the answer open and sends events as they happen).
func (r *Recorder) Handler() http.Handler {
	return http.HandlerFunc(r.serve)
}

// query is what a reader of the time line asks for.
type query struct {
	since   uint64
	request string
	follow  bool
}

func parseQuery(req *http.Request) (query, error) {
	values := req.URL.Query()
	q := query{request: values.Get("request")}
	var err error
	if text := values.Get("since"); text != "" {
		if q.since, err = strconv.ParseUint(text, 10, 64); err != nil {
			return q, err
		}
	}
	if text := values.Get("follow"); text != "" {
		if q.follow, err = strconv.ParseBool(text); err != nil {
			return q, err
		}
	}
	return q, nil
}

func (r *Recorder) serve(w http.ResponseWriter, req *http.Request) {
	if req.Method != http.MethodGet && req.Method != http.MethodHead {
		w.Header().Set("Allow", "GET, HEAD")
		http.Error(w, "only GET is served here", http.StatusMethodNotAllowed)
		return
	}
	q, err := parseQuery(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/jsonl")
	w.Header().Set(HeaderOverwritten, strconv.FormatUint(r.Overwritten(), 10))
	r.write(w, req, q)
}

// write sends the events held and, when following, those to come until the
// reader leaves.
func (r *Recorder) write(w http.ResponseWriter, req *http.Request, q query) {
	encoder := json.NewEncoder(w)
	flusher := http.NewResponseController(w)
	for {
		events := r.Since(q.since, batchEvents)
		for i := range events {
			q.since = events[i].Seq
			if q.request != "" && events[i].RequestID != q.request {
				continue
			}
			if encoder.Encode(&events[i]) != nil {
				return
			}
		}
		if len(events) == batchEvents {
			continue
		}
		if !q.follow {
			return
		}
		if flusher.Flush() != nil {
			return
		}
		select {
		case <-r.wait(q.since):
		case <-req.Context().Done():
			return
		}
	}
}
