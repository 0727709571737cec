// Package control provides what the HTTP handlers of the stand-ins share:
// reading and writing JSON bodies, and the simulation of a server that hangs or
// drops the connection.
package control

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes is the maximum size of the JSON body of a request.
const maxBodyBytes = 16 << 20

// WriteJSON responds with value as JSON.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes the JSON body of a request into value and refuses unknown
// fields. On failure it responds with 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Hang sends no response, waits until the caller disconnects, and then aborts the
// handler as Abort does. Hang does not return.
func Hang(r *http.Request) {
	<-r.Context().Done()
	Abort()
}

// Abort aborts the handler by a panic with http.ErrAbortHandler: the server
// drops the connection without completing the response. Abort does not return.
func Abort() {
	panic(http.ErrAbortHandler)
}
