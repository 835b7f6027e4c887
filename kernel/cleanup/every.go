package cleanup

import "time"

// Every starts a thread that does something again and again until the stack
// runs.
func Every(ends *Stack, span time.Duration, do func()) {
	done := make(chan struct{})
	ends.Push(func() { close(done) })
	go func() {
		ticker := time.NewTicker(span)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				do()
			}
		}
	}()
}
