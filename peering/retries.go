package peering

import (
	"math/rand/v2"
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
	"github.com/briarturn/briarturn/retrybudget"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// lendersPerAsk is the number of peers that one Ask goes to. Each lends at most half of what it has
// left, and what isn't used is lost for a window.
const lendersPerAsk = 3

// retryLoan is the answer to an Ask.
type retryLoan struct {
	to  uint64          // incarnation that asked
	ask retrybudget.Ask // with the number of retries that are lent
}

// Ask implements retrybudget.Asker.
func (o *outbox) Ask(a retrybudget.Ask) {
	o.mu.Lock()
	o.asks = append(o.asks, a)
	o.mu.Unlock()
	o.signal()
}

// lend queues a loan. Handlers of datagrams must not send themselves.
func (o *outbox) lend(l retryLoan) {
	o.mu.Lock()
	o.loans = append(o.loans, l)
	o.mu.Unlock()
	o.signal()
}

// takeRetries empties the queues of Asks and loans.
func (o *outbox) takeRetries() ([]retrybudget.Ask, []retryLoan) {
	o.mu.Lock()
	defer o.mu.Unlock()
	asks, loans := o.asks, o.loans
	o.asks, o.loans = nil, nil
	return asks, loans
}

// RetryAsker returns the asker of the entry's retry budget.
func (x *Exchange) RetryAsker() retrybudget.Asker { return x.outbox }

// sendRetries sends the pending Asks to a few peers each, and the pending loans to who asked.
func (x *Exchange) sendRetries(now time.Time) {
	asks, loans := x.outbox.takeRetries()
	for _, a := range asks {
		m := &wirepb.WorkNews{Owner: x.cfg.Incarnation, RetryAsks: []*wirepb.RetryAsk{{Service: a.Service, Tokens: uint32(a.Tokens), Seq: a.Seq}}}
		for _, p := range x.lenders(now) {
			x.sendTo(p.DatagramAddress, m)
		}
	}
	for _, l := range loans {
		if p, ok := x.peerOf(l.to); ok {
			m := &wirepb.RetryLoan{To: l.to, Service: l.ask.Service, Tokens: uint32(l.ask.Tokens), Seq: l.ask.Seq}
			x.sendTo(p.DatagramAddress, &wirepb.WorkNews{Owner: x.cfg.Incarnation, RetryLoans: []*wirepb.RetryLoan{m}})
		}
	}
}

// lenders returns random peers that haven't timed out.
func (x *Exchange) lenders(now time.Time) []Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	var out []Peer
	for _, i := range rand.Perm(len(x.peers)) {
		if len(out) < lendersPerAsk && !x.timedOutLocked(x.peers[i].Incarnation, now) {
			out = append(out, x.peers[i])
		}
	}
	return out
}

// peerOf returns the peer with an incarnation.
func (x *Exchange) peerOf(incarnation uint64) (Peer, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range x.peers {
		if p.Incarnation == incarnation {
			return p, true
		}
	}
	return Peer{}, false
}

// handleRetries answers the Asks of a peer, and takes what it lends.
func (x *Exchange) handleRetries(m *wirepb.WorkNews) {
	if x.cfg.Retries == nil {
		return
	}
	now := boottime.Now()
	for _, a := range m.GetRetryAsks() {
		ask := retrybudget.Ask{Service: a.GetService(), Tokens: int(a.GetTokens()), Seq: a.GetSeq()}
		if ask.Tokens = x.cfg.Retries.Lend(ask, now); ask.Tokens > 0 {
			x.outbox.lend(retryLoan{to: m.GetOwner(), ask: ask})
		}
	}
	for _, l := range m.GetRetryLoans() {
		if l.GetTo() == x.cfg.Incarnation {
			x.cfg.Retries.Borrow(retrybudget.Ask{Service: l.GetService(), Tokens: int(l.GetTokens()), Seq: l.GetSeq()}, m.GetOwner(), now)
		}
	}
}
