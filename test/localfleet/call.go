package localfleet

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// callTimeout bounds each HTTP request of Call.
const callTimeout = 8 * time.Second

var httpClient = &http.Client{Timeout: callTimeout}

// Call sends a request to the HTTP server of a daemon; see the function Call.
func (f *Fleet) Call(name, method, path string, body, into any) error {
	return Call(f.Get(name).HTTP, method, path, body, into)
}

// Call sends a request to the HTTP server at an address. A []byte body is sent unchanged, and
// any other body as JSON; nil means none. Unless into is nil, the JSON response is decoded into
// the value that it points to. A status other than 2xx is returned as an error with the text of
// the response.
func Call(address, method, path string, body, into any) error {
	data, err := encodeBody(body)
	if err != nil {
		return errors.Wrap(err, "encoding the request body")
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "creating the request")
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "calling")
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "reading the response")
	}
	if response.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: %s: %s", method, path, response.Status, text)
	}
	if into == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(text, into), "decoding the response")
}

func encodeBody(body any) ([]byte, error) {
	switch b := body.(type) {
	case nil:
		return nil, nil
	case []byte:
		return b, nil
	}
	return json.Marshal(body)
}

// retryInterval is the pause between attempts of WaitUntil.
const retryInterval = 30 * time.Millisecond

// WaitUntil calls attempt until it succeeds, and returns its last error once the timeout has
// passed.
func WaitUntil(timeout time.Duration, attempt func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "no success within %v", timeout)
		}
		time.Sleep(retryInterval)
	}
}
