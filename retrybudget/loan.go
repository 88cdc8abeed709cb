package retrybudget

import (
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
)

const (
	// loanTerm is the time from an Ask until which what is lent for it may be sent. It covers a
	// round trip between entries and a few retries.
	loanTerm = time.Second
	// loanTokens is the number of retries that an entry asks for at a time.
	loanTokens = 4
	// lowWater is the number of retries left at which an entry asks for more.
	lowWater = 1
	// askInterval is the pause between two Asks for a service. It doubles, up to maxAskInterval, for
	// each Ask for which nothing was lent.
	askInterval    = 100 * time.Millisecond
	maxAskInterval = time.Second
)

// Ask asks other entries for retries of a service. Seq identifies it; it is unique within the process.
type Ask struct {
	Service string
	Tokens  int
	Seq     uint64
}

// Asker sends Asks to other entries. Ask must not block.
type Asker interface {
	Ask(Ask)
}

// loan is what another entry has lent.
type loan struct {
	tokens int
	until  boottime.Instant // sends later than this aren't covered
}

// loans are the loans of one service and its last Ask.
type loans struct {
	list     []*loan
	seq      uint64
	askedAt  boottime.Instant
	lenders  map[uint64]bool // incarnations that have lent for the last Ask
	interval time.Duration   // until the next Ask
}

// Borrow adds what another entry has lent for an Ask. It ignores loans for an older Ask, and further
// ones of the same lender, because messages can be late or repeated.
func (b *Budget) Borrow(a Ask, lender uint64, now boottime.Instant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.serviceLocked(a.Service).loans
	if a.Seq == 0 || a.Seq != l.seq || l.lenders[lender] {
		return
	}
	l.lenders[lender] = true
	l.interval = askInterval
	if until := l.askedAt.Add(loanTerm); now < until {
		l.list = append(l.list, &loan{tokens: min(a.Tokens, loanTokens), until: until})
	}
}

// Lend returns how many retries of a service this entry lends, at most half of what is left of its own
// share. They count as its own as if they were sent at the end of the loan.
func (b *Budget) Lend(a Ask, now boottime.Instant) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceLocked(a.Service)
	tokens := min(a.Tokens, loanTokens, b.usageLocked(s, now).remaining()/2)
	if tokens > 0 {
		s.retries.add(b.bucket(now.Add(loanTerm)), tokens)
	}
	return tokens
}

// available returns the number of borrowed retries that may still be sent, and drops ended loans.
func (l *loans) available(now boottime.Instant) int {
	for len(l.list) > 0 && now >= l.list[0].until {
		l.list = l.list[1:]
	}
	sum := 0
	for _, x := range l.list {
		sum += x.tokens
	}
	return sum
}

// take takes one borrowed retry; available must have returned more than 0.
func (l *loans) take(now boottime.Instant) *loan {
	for _, x := range l.list {
		if x.tokens > 0 && now < x.until {
			x.tokens--
			return x
		}
	}
	return nil
}

// nextAsk returns the next Ask if one is due.
func (l *loans) nextAsk(service string, now boottime.Instant) *Ask {
	if l.seq > 0 && now.Sub(l.askedAt) < l.interval {
		return nil
	}
	if l.seq > 0 && len(l.lenders) == 0 {
		l.interval = min(2*l.interval, maxAskInterval)
	}
	l.interval = max(l.interval, askInterval)
	l.seq++
	l.askedAt, l.lenders = now, map[uint64]bool{}
	return &Ask{Service: service, Tokens: loanTokens, Seq: l.seq}
}
