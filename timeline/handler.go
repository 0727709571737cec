package timeline

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// HeaderOverwritten is the HTTP header with the number of events that the process
// has overwritten.
const HeaderOverwritten = "Sesame-Timeline-Overwritten"

// maxBatchEvents is the maximum number of events that are copied from the buffer
// at a time while a response is written.
const maxBatchEvents = 256

// Handler serves the events as JSON lines. Its query parameters are since (only
// events with a higher sequence number), request (only events of the request with
// this ID) and follow (if true, the response stays open and new events are sent
// as they are recorded).
func (r *Recorder) Handler() http.Handler {
	return http.HandlerFunc(r.serve)
}

// query contains the query parameters of a request for events.
type query struct {
	since   uint64
	request string
	follow  bool
}

func parseQuery(req *http.Request) (query, error) {
	values := req.URL.Query()
	q := query{request: values.Get("request")}
	var err error
	if value := values.Get("since"); value != "" {
		if q.since, err = strconv.ParseUint(value, 10, 64); err != nil {
			return q, err
		}
	}
	if value := values.Get("follow"); value != "" {
		if q.follow, err = strconv.ParseBool(value); err != nil {
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

// write sends the recorded events that match the query. With follow, it then
// sends new events until the client disconnects.
func (r *Recorder) write(w http.ResponseWriter, req *http.Request, q query) {
	encoder := json.NewEncoder(w)
	controller := http.NewResponseController(w)
	for {
		events := r.Since(q.since, maxBatchEvents)
		for i := range events {
			q.since = events[i].Seq
			if q.request != "" && events[i].RequestID != q.request {
				continue
			}
			if encoder.Encode(&events[i]) != nil {
				return
			}
		}
		if len(events) == maxBatchEvents {
			continue
		}
		if !q.follow {
			return
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-r.wait(q.since):
		case <-req.Context().Done():
			return
		}
	}
}
