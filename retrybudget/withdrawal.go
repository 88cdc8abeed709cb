package retrybudget

import "github.com/briarturn/briarturn/internal/boottime"

// Withdrawal is one retry that was taken from a Budget. One goroutine owns it.
type Withdrawal struct {
	budget  *Budget
	service string
	loan    *loan // that it was taken from; nil: the own share
	state   withdrawalState
	sentIn  int64 // bucket in which the send was counted
}

type withdrawalState uint8

const (
	withdrawalPending withdrawalState = iota
	withdrawalSent
	withdrawalReturned
)

// TryWithdraw takes one retry from the entry's share, or from what it has borrowed. It returns nil
// if the budget allows none. The caller must call Sent right before the retry is sent, and Return
// if it isn't sent.
func (b *Budget) TryWithdraw(service string, now boottime.Instant) *Withdrawal {
	w, wanted, asker := b.withdraw(service, now)
	if wanted != nil {
		asker.Ask(*wanted)
	}
	return w
}

// withdraw implements TryWithdraw and returns the Ask that is due, if any, and who sends it.
func (b *Budget) withdraw(service string, now boottime.Instant) (*Withdrawal, *Ask, Asker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceLocked(service)
	usage := b.usageLocked(s, now)
	w := &Withdrawal{budget: b, service: service}
	switch {
	case usage.remaining() > 0:
		s.pending++
	case usage.Borrowed > 0:
		w.loan = s.loans.take(now)
	default:
		w = nil
	}
	if b.asker == nil || usage.remaining()+usage.Borrowed > lowWater {
		return w, nil, nil
	}
	return w, s.loans.nextAsk(service, now), b.asker
}

// Sent counts the retry as sent now. It returns false if the retry must not be sent because the loan
// that it was taken from has ended and the own share is used up.
func (w *Withdrawal) Sent(now boottime.Instant) bool {
	if w.state != withdrawalPending {
		return w.state == withdrawalSent
	}
	b := w.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceLocked(w.service)
	if w.loan != nil && now < w.loan.until {
		w.state = withdrawalSent
		return true
	}
	if w.loan != nil && b.usageLocked(s, now).remaining() == 0 {
		w.state = withdrawalReturned
		return false
	}
	if w.loan == nil {
		s.pending--
	}
	w.loan = nil
	w.state, w.sentIn = withdrawalSent, b.bucket(now)
	s.retries.add(w.sentIn, 1)
	return true
}

// Return gives a retry back of which nothing was sent.
func (w *Withdrawal) Return() {
	if w == nil || w.state == withdrawalReturned {
		return
	}
	b := w.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceLocked(w.service)
	switch {
	case w.loan != nil:
		w.loan.tokens++
	case w.state == withdrawalPending:
		s.pending--
	default:
		s.retries.add(w.sentIn, -1)
	}
	w.state = withdrawalReturned
}

// Release returns a retry that was never sent and leaves one that was.
func (w *Withdrawal) Release() {
	if w != nil && w.state == withdrawalPending {
		w.Return()
	}
}
