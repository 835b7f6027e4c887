package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxKeepAlive is the longest time that an idle connection is kept, whatever the server names.
const maxKeepAlive = time.Hour

// keepAliveTimeout is how long an idle connection may be kept: by the server's Keep-Alive header
// (RFC 2068, 19.7.1.1) or else by the settings; 0 for not at all.
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
			case "max": // requests that the connection may still carry
				if number == 0 {
					return 0
				}
			}
		}
	}
	return timeout
}
