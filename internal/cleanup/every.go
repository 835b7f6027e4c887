package cleanup

import "time"

// Every starts a goroutine that calls action at every interval until the stack runs. The stack
// does not wait for a call in progress.
func Every(cleanups *Stack, interval time.Duration, action func()) {
	done := make(chan struct{})
	cleanups.Push(func() { close(done) })
	go func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				action()
			}
		}
	}()
}
