package modelclient

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/zeromicro/go-zero/core/logx"
)

func TestMain(m *testing.M) {
	ConfigureDefaultClient()
	logx.Disable()
	os.Exit(m.Run())
}

// startServer runs a fake model server and returns its address.
func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}
