package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxKeepAlive limits how long an idle connection is kept, whatever time the server specifies.
const maxKeepAlive = time.Hour

// keepAliveTimeout returns how long an idle connection may be kept, according to the server's
// Keep-Alive header (RFC 2068, 19.7.1.1) or else to the settings. It returns 0 if the connection
// must not be kept.
func (c *Client) keepAliveTimeout(header http.Header) time.Duration {
	timeout := c.settings.IdleTimeout
	for _, line := range header.Values("Keep-Alive") {
		for parameter := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(parameter, "=")
			number, err := strconv.ParseUint(strings.Trim(value, " \t\""), 10, 31)
			if err != nil {
				continue
			}
			switch strings.ToLower(strings.TrimSpace(name)) {
			case "timeout":
				timeout = min(time.Duration(number)*time.Second-c.settings.KeepAliveMargin, maxKeepAlive)
			case "max": // number of further requests that the server accepts on the connection
				if number == 0 {
					return 0
				}
			}
		}
	}
	return timeout
}
