package localfleet

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// callTimeout is how long a daemon may take to answer a call of Call.
const callTimeout = 8 * time.Second

var httpClient = &http.Client{Timeout: callTimeout}

// Call calls a daemon's HTTP server: see the function Call.
func (f *Fleet) Call(name, method, path string, body, into any) error {
	return Call(f.Get(name).HTTP, method, path, body, into)
}

// Call calls an HTTP server by address. The body is sent as it is where it is []byte, and else
// as JSON; nil: none. The response is decoded into what `into` points to, if it is not nil. A
// status other than 2xx is an error with the response's text.
func Call(address, method, path string, body, into any) error {
	data, err := encodeBody(body)
	if err != nil {
		return errors.Wrap(err, "encoding a request")
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "making a request")
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
	return errors.Wrap(json.Unmarshal(text, into), "reading the response")
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

// retryInterval is the time between two attempts of WaitUntil.
const retryInterval = 30 * time.Millisecond

// WaitUntil repeats an attempt until it succeeds; its last error where the timeout passed.
func WaitUntil(timeout time.Duration, attempt func() error) error {
	deadline := time.Now().Add(timeout)
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrapf(err, "not within %v", timeout)
		}
		time.Sleep(retryInterval)
	}
}
