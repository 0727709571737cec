// Package control holds what the stand-ins' own HTTP interfaces share: JSON
// in and out, and the two ways in which a server fails to answer.
package control

import (
	"encoding/json"
	"net/http"
)

// maxControlBytes bounds the body of a control call.
const maxControlBytes = 16 << 20

// WriteJSON answers with value as JSON.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes a control call's body into value. On failure it answers
// with 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Hang holds the call without an answer until the caller goes, and then
// drops the connection.
func Hang(r *http.Request) {
	<-r.Context().Done()
	Abort()
}

// Abort closes the connection without an answer. It does not return.
func Abort() {
	panic(http.ErrAbortHandler)
}
