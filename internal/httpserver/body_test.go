package httpserver

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"tuliprudder/internal/errs"
)

func TestWriteErrorWritesTypedError(t *testing.T) {
	w := httptest.NewRecorder()
	WriteError(w, errs.NewWithRetry(errs.Busy, 1_000_001, "come back", "full"))
	const want = `{"error":{"kind":"busy","message":"full","remedy":"come back","retry_after_us":1000001}}` + "\n"
	if w.Code != http.StatusTooManyRequests || w.Header().Get("Retry-After") != "2" || w.Body.String() != want {
		t.Errorf("wrote %d, Retry-After %q, %s", w.Code, w.Header().Get("Retry-After"), w.Body)
	}
}

func TestReadBodyEnforcesSizeLimit(t *testing.T) {
	for text, wantKind := range map[string]errs.Kind{"12345": "", "123456": errs.TooLarge} {
		r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(text))
		r.Body = http.MaxBytesReader(httptest.NewRecorder(), r.Body, 5)
		data, err := ReadBody(r)
		if wantKind == "" && (err != nil || string(data) != text) {
			t.Errorf("%q: read %q, %v", text, data, err)
		}
		if wantKind != "" && !errs.Is(err, wantKind) {
			t.Errorf("%q: got error %v", text, err)
		}
	}
}

func TestDecodeIsStrict(t *testing.T) {
	for text, isValid := range map[string]bool{
		`{"name":"a"}`:           true,
		`{"name":"a"} `:          true,
		`{"name":"a","other":1}`: false,
		`{"name":"a"}{}`:         false,
		`{"name":`:               false,
		``:                       false,
	} {
		var into struct {
			Name string `json:"name"`
		}
		err := Decode([]byte(text), &into)
		if isValid && (err != nil || into.Name != "a") || !isValid && !errs.Is(err, errs.BadInput) {
			t.Errorf("%q: decoded %+v, %v", text, into, err)
		}
	}
}
