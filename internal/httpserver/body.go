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

// WriteJSON writes a response with a JSON body. The error is that the body can't be encoded;
// nothing is written then. That the caller is gone is no error: nobody is there to be told.
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

// errorBody is the JSON of an error response; its key never changes.
type errorBody struct {
	Error *errs.Error `json:"error"`
}

// WriteError writes the typed error (errs.Of) with the status of its kind and, where the caller
// may try again, Retry-After in whole seconds.
func WriteError(w http.ResponseWriter, err error) {
	typed := errs.Of(err)
	if typed.RetryAfterUS > 0 {
		seconds := math.Ceil(float64(typed.RetryAfterUS) / 1e6)
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	_ = WriteJSON(w, typed.Status(), errorBody{typed}) // an errs.Error can always be encoded
}

// ReadBody reads a complete body. The error is an errs.TooLarge or an errs.BadInput.
func ReadBody(r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(r.Body)
	if err == nil {
		return data, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errs.New(errs.TooLarge, "send a smaller body, or several batches", "the body is over %d bytes", tooLarge.Limit)
	}
	return nil, errs.New(errs.BadInput, "send the complete body", "the body was interrupted: %v", err)
}

// Decode decodes one JSON value strictly: an unknown field, or anything after the value, is an
// errs.BadInput.
func Decode(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errs.New(errs.BadInput, "send JSON of the form on the caller page", "the body is not as expected: %v", err)
	}
	if decoder.More() {
		return errs.New(errs.BadInput, "send one JSON value", "something follows the body's JSON")
	}
	return nil
}
