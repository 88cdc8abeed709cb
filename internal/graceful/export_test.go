package graceful

import "time"

// SetTimeouts replaces the waits for callers, so that no test depends on the speed of the
// machine. It must be called before Serve.
func (s *Server) SetTimeouts(first, close time.Duration) { s.timeouts = timeouts{first, close} }
