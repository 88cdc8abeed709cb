package graceful

import "time"

// WaitFor replaces how long the server waits for callers, so that no test depends on a
// machine's speed. Call it before the server serves.
func (s *Server) WaitFor(first, close time.Duration) { s.waits = waits{first, close} }
