package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"tuliprudder/internal/errs"
)

const stream = "\xef\xbb\xbf: hello\n\nid: 1\ndata: a\ndata:b\nx-load: 3\nevent: e\nretry: 5\n\n\r\ndata: c\r\n\r\nid\rdata\r\r"

func readEvents(t *testing.T, source io.Reader) (all []Event, err error) {
	t.Helper()
	reader := NewEventReader(source)
	for {
		event, err := reader.Next()
		if err != nil {
			if _, again := reader.Next(); again != err {
				t.Fatalf("second call after the end returned %v, the first %v", again, err)
			}
			return all, err
		}
		all = append(all, event)
	}
}

func TestEventsDoNotDependOnReadSizes(t *testing.T) {
	for name, source := range map[string]io.Reader{
		"whole": strings.NewReader(stream), "bytes": iotest.OneByteReader(strings.NewReader(stream)),
		"halves": iotest.HalfReader(strings.NewReader(stream)), "end of stream together with data": iotest.DataErrReader(strings.NewReader(stream)),
	} {
		t.Run(name, func(t *testing.T) {
			all, err := readEvents(t, source)
			if err != io.EOF {
				t.Fatal(err)
			}
			var raw []byte
			var text []string
			for _, event := range all {
				raw = append(raw, event.Raw...)
				text = append(text, fmt.Sprintf("%q %q %v %v", event.ID, event.Data, event.HasData, event.OtherFields))
			}
			if string(raw) != stream {
				t.Fatalf("raw bytes of all events are %q", raw)
			}
			want := `"" "" false []` + "\n" + `"1" "a\nb" true [{x-load 3}]` + "\n" + `"" "c" true []` + "\n" + `"" "" true []`
			if got := strings.Join(text, "\n"); got != want {
				t.Fatalf("events:\n%s", got)
			}
		})
	}
}

func TestEventIsReturnedAtItsBlankLine(t *testing.T) {
	for _, end := range []string{"\n\n", "\r\n\r\n", "\r\r", "\r\n\r"} {
		source, sink := io.Pipe()
		go sink.Write([]byte("data: a" + end)) // the stream stays open
		event, err := NewEventReader(source).Next()
		if err != nil || event.Data != "a" || string(event.Raw) != "data: a"+end {
			t.Fatalf("%q: %v %v", end, event, err)
		}
		source.Close()
	}
}

func TestTruncatedEventStreams(t *testing.T) {
	for text, want := range map[string]error{
		"": io.EOF, "data: a\n\n": io.EOF, "data: a\n\n\n": io.EOF,
		"data: a\n\ndata: b\n": io.ErrUnexpectedEOF, "data: a\n\ndata: b": io.ErrUnexpectedEOF, ": note\n": io.ErrUnexpectedEOF,
	} {
		if _, err := readEvents(t, strings.NewReader(text)); err != want {
			t.Fatalf("%q: %v", text, err)
		}
	}
	blank := NewEventReader(strings.NewReader("data: a\n\n\r\n\n"))
	if _, err := blank.Next(); err != nil {
		t.Fatal(err)
	}
	if _, err := blank.Next(); err != io.EOF || string(blank.Trailing()) != "\r\n\n" {
		t.Fatalf("error is %v, trailing bytes are %q", err, blank.Trailing())
	}
	broken := errors.New("broken")
	all, err := readEvents(t, io.MultiReader(strings.NewReader("data: a\n\ndata: b\n"), iotest.ErrReader(broken)))
	if err != broken || len(all) != 1 {
		t.Fatalf("%d events, %v", len(all), err)
	}
}

func TestEventSizeIsLimited(t *testing.T) {
	fits := append(bytes.Repeat([]byte("x"), maxEventBytes-2), "\n\n"...)
	if all, err := readEvents(t, bytes.NewReader(fits)); err != io.EOF || len(all) != 1 {
		t.Fatalf("%d events, %v", len(all), err)
	}
	for _, extra := range []string{"x\n\ndata: next\n\n", strings.Repeat("x", 10000)} {
		large := append(bytes.Repeat([]byte("x"), maxEventBytes-2), extra...)
		if all, err := readEvents(t, bytes.NewReader(large)); len(all) != 0 || !errs.Is(err, errs.TooLarge) {
			t.Fatalf("%d events, %v", len(all), err)
		}
	}
}
