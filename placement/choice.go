package placement

import "time"

// choice is one possible set of servers for a query.
type choice struct {
	primary      serverOption
	helpers      []serverOption // in no particular order, except that holders come first
	holders      []serverOption // hold the prompt, primary first; empty if the primary holds all of it
	firstToken   time.Duration
	interference float64 // expected loss of the other requests; setLoss weights it
	loss         float64 // expected loss of all requests, the query included; infinite if impossible
}

// setLoss multiplies the interference by interferenceFactor and computes the total loss of
// the choice. ownLoss is the loss of the query itself.
func (c *choice) setLoss(ownLoss float64) {
	c.interference *= interferenceFactor
	c.loss = c.interference + ownLoss
}

// shouldDefer reports whether a prompt should be placed later because placing it now
// would cost other requests more than the prompt gains by being on time. congestion is the
// cost for requests that arrive while its prefill occupies servers.
//
// A prompt of 400,000 tokens stops every stream on its engines for a second or more. In a
// burst of such prompts the last ones can't be on time, but the streams that they stop
// could be. The cost that is accepted rises with the time that the prompt has waited. Once its
// own work just fits into the rest of its caller's time, it is placed at any cost.
func (c *choice) shouldDefer(q Query, congestion float64, servers int) bool {
	if q.mustStart(servers) {
		return false
	}
	weight := q.weight()
	gain := q.timeBudget().kept(c.firstToken, weight)
	waitedShare := float64(q.Waited) / float64(q.Waited+q.TimeLeft)
	return c.interference+congestion > gain+weight*(deferMargin+deferMarginSlope*waitedShare)
}
