package httpserver

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"tuliprudder/internal/errs"
)

// WriteJSON writes a response with a JSON body. It returns an error, and writes nothing, if the body
// can't be encoded. A failed write is not an error: the caller has disconnected, so that no response
// can reach it.
func WriteJSON(w http.ResponseWriter, status int, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encoding the response")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(data, '\n'))
	return nil
}

// errorBody is the JSON of an error response; its key must never change.
type errorBody struct {
	Error *errs.Error `json:"error"`
}

// WriteError writes the typed error (errs.Of) with the status of its kind and, if the error has a
// time for a retry, a Retry-After header in seconds, rounded up.
func WriteError(w http.ResponseWriter, err error) {
	typed := errs.Of(err)
	if typed.RetryAfterUS > 0 {
		seconds := math.Ceil(float64(typed.RetryAfterUS) / 1e6)
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	_ = WriteJSON(w, typed.Status(), errorBody{typed}) // an errs.Error can always be encoded
}

// ReadBody reads the complete body. Its error is of kind errs.TooLarge or errs.BadInput.
func ReadBody(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(r.Body)
	if err == nil {
		return data, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errs.New(errs.TooLarge, "send a smaller body, or several batches", "the body exceeds %d bytes", tooLarge.Limit)
	}
	return nil, errs.New(errs.BadInput, "send the complete body", "the body was interrupted: %v", err)
}

// Decode decodes one JSON value strictly: an unknown field, or data after the value, is an error of
// kind errs.BadInput.
func Decode(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errs.New(errs.BadInput, "send JSON as described on the caller page", "the body can't be decoded: %v", err)
	}
	if decoder.More() {
		return errs.New(errs.BadInput, "send one JSON value", "the body has data after its JSON value")
	}
	return nil
}
