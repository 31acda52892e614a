package control

import (
	"encoding/json"
	"net/http"
)

const maxBody = 1 << 20 // bytes

// Reply writes v as JSON.
func Reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the client has disconnected
}

// Decode decodes the JSON body into v and reports whether it is valid. If not, it responds with status 400. Unknown
// fields and bodies over 1 MiB are invalid.
func Decode(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
