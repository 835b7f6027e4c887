package upstream

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func TestResponseHeadSizeIsLimited(t *testing.T) {
	address := startServer(t, func(p *peer) {
		p.readRequest()
		p.send("HTTP/1.1 200 OK\r\n")
		for line := "X-Fill: " + strings.Repeat("x", 4096) + "\r\n"; ; {
			if _, err := io.WriteString(p.conn, line); err != nil {
				return
			}
		}
	})
	_, err := New(testHeaderNames, Settings{}).Do(t.Context(), newPost(address, "a"))
	if !errors.Is(requireError(t, err, Unknown), errHeadTooLarge) {
		t.Fatal(err)
	}
}
