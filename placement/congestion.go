package placement

import "time"

// The load that this answers: a burst of long prompts that asks for more reading than
// all servers have. Reading grows with the square of a prompt: one of 133,000 tokens
// takes a server 1.9 s and one of 440,000 takes 13 s, which is as long as seven of the
// former and worth three. If all are begun as they come, all are read side by side and
// all are late, their memory is taken meanwhile, and further ones find no room. With a
// price on reading time the largest wait until there is less to read, or until their
// callers' time runs short.
const (
	// readingWorth is the price of a second of reading where it is scarce: what the
	// longest of usual prompts gain by it. One of 133,000 tokens gains 10.7 by being on
	// time and takes 1.9 s.
	readingWorth = 5.0
	// scarceFrom and scarceTo bound the reading that waits for each server in the mean
	// between which its price rises from nothing: below the former a prompt that comes
	// is on time wherever it goes, at the latter a prompt of 133,000 tokens spread over
	// four servers waits for as long again as it is read.
	scarceFrom = 150 * time.Millisecond
	scarceTo   = 800 * time.Millisecond
	// backlogMost bounds what one server counts for: a slow one is no sign that
	// reading is scarce on the others.
	backlogMost = 3 * time.Second
)

// readingPrice is what reading a prompt takes from those that wait or come meanwhile.
func readingPrice(q Query, options []option, now time.Time) float64 {
	var sum time.Duration
	for i := range options {
		sum += min(options[i].state.busyFor(now), backlogMost)
	}
	mean := sum / time.Duration(len(options))
	reading := q.Engine.PrefillTime(q.InputTokens, q.InputTokens)
	return readingWorth * ramp(mean, scarceFrom, scarceTo) * reading.Seconds()
}

// busyFor is how long the server still reads: the pass that goes on, and what waits
// for the next ones. Call advance before.
func (s *serverState) busyFor(now time.Time) time.Duration {
	waiting, _ := s.backlog()
	return s.stretch(waiting) + max(s.passEnd.Sub(now), 0)
}
