package modelclient

import (
	"net"
	"net/http"
	"time"
)

// The limits of the default client.
const (
	dialTimeout         = time.Second
	idleTimeout         = 30 * time.Second // of a pooled connection
	maxIdleConnsPerHost = 64
)

// ConfigureDefaultClient replaces http.DefaultClient, which go-zero's httpc uses. The new client
// follows no redirects, uses no proxy, does not compress, and closes idle connections. A program
// calls it once, before its first request.
func ConfigureDefaultClient() {
	http.DefaultClient = &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
