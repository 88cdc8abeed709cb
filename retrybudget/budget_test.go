package retrybudget

import (
	"testing"
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
)

const (
	started = boottime.Instant(time.Hour)
	// settled is when a process that started at started uses its part of the slack.
	settled = started + boottime.Instant(fleetWindow+fleetArrivalDelay+loanTerm)
)

// askRecorder is an Asker that keeps the Asks.
type askRecorder []Ask

func (r *askRecorder) Ask(a Ask) { *r = append(*r, a) }

func (r *askRecorder) last() Ask { return (*r)[len(*r)-1] }

// newBudget returns the budget of an entry that was listed with others and has a part of 10 of
// the slack.
func newBudget(asks *askRecorder) *Budget {
	b := New(Options{Slack: 20, Window: fleetWindow, ArrivalDelay: fleetArrivalDelay}, started)
	b.SetAsker(asks)
	b.SetEntries(2, started)
	return b
}

// withdraw takes retries until none is left, and returns them.
func withdraw(b *Budget, now boottime.Instant) []*Withdrawal {
	var out []*Withdrawal
	for {
		w := b.TryWithdraw(fleetService, now)
		if w == nil {
			return out
		}
		out = append(out, w)
	}
}

func send(t *testing.T, list []*Withdrawal, now boottime.Instant) {
	t.Helper()
	for _, w := range list {
		if !w.Sent(now) {
			t.Fatal("a retry that was withdrawn may not be sent")
		}
	}
}

func wantCount(t *testing.T, what string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %d retries, want %d", what, got, want)
	}
}

// Guards against retries of a process and of its predecessor in the same window.
func TestNoSlackWhileRetriesOfPredecessorCount(t *testing.T) {
	b := newBudget(&askRecorder{})
	wantCount(t, "just before its slack begins", len(withdraw(b, settled-1)), 0)
	wantCount(t, "then", len(withdraw(b, settled)), 10)
}

// Guards against a share of the slack that is too large, because the other entries aren't known yet.
func TestNoSlackBeforeEntriesAreListed(t *testing.T) {
	b := New(Options{Slack: 20, Window: fleetWindow}, started)
	wantCount(t, "not listed", len(withdraw(b, settled)), 0)
	b.SetEntries(4, settled)
	wantCount(t, "listed", len(withdraw(b, settled)), 5)
}

// Guards against retries that are sent late, by a delayed send and one that is in time.
func TestRetriesCountUntilTheyLeaveEveryWindow(t *testing.T) {
	b := newBudget(&askRecorder{})
	held := withdraw(b, settled)
	later := settled.Add(time.Minute)
	wantCount(t, "while ten wait", len(withdraw(b, later)), 0)
	send(t, held, later)
	wantCount(t, "while they may arrive in the window", len(withdraw(b, later.Add(fleetWindow+fleetArrivalDelay))), 0)
	end := later.Add(fleetWindow + fleetArrivalDelay + 2*fleetWindow/bucketsPerWindow)
	wantCount(t, "later", len(withdraw(b, end)), 10)
}

// Guards against the requests of more than two windows, which would allow more than their ratio.
func TestRequestsCountForLessThanAWindow(t *testing.T) {
	b := New(Options{Ratio: 0.2, Window: fleetWindow, ArrivalDelay: fleetArrivalDelay}, started)
	for range 100 {
		b.RecordRequest(fleetService, settled)
	}
	wantCount(t, "at the end of the window", len(withdraw(b, settled.Add(fleetWindow-fleetArrivalDelay))), 0)
	wantCount(t, "before", len(withdraw(b, settled.Add(fleetWindow-fleetArrivalDelay-2*fleetWindow/bucketsPerWindow))), 10)
}

// Guards against entries that take the part of one that has just gone, whose retries are arriving.
func TestPartOfRemovedEntryIsRetained(t *testing.T) {
	b := newBudget(&askRecorder{})
	b.SetEntries(1, settled)
	wantCount(t, "just after the removal", len(withdraw(b, settled)), 10)
	wantCount(t, "later", len(withdraw(b, settled.Add(entriesRetention))), 10)
}

// Guards against budget that is lost to retries of which nothing was sent.
func TestReturnedRetriesAreAvailableAgain(t *testing.T) {
	b := newBudget(&askRecorder{})
	all := withdraw(b, settled)
	all[0].Return()
	all[1].Release()
	send(t, all[2:4], settled)
	all[2].Return()
	all[2].Return()
	all[3].Release() // it was sent
	wantCount(t, "returned", len(withdraw(b, settled)), 3)
}

// Guards against retries that the lender and the borrower both send, in the order of the messages
// or not.
func TestLentRetriesCountUntilTheLoanLeavesEveryWindow(t *testing.T) {
	b := newBudget(&askRecorder{})
	ask := Ask{Service: fleetService, Tokens: loanTokens, Seq: 1}
	wantCount(t, "lent first", b.Lend(ask, settled), 4)
	wantCount(t, "lent next, half of what is left", b.Lend(ask, settled), 3)
	end := settled.Add(loanTerm + fleetWindow + fleetArrivalDelay)
	wantCount(t, "left while they may arrive", len(withdraw(b, end)), 3)
	wantCount(t, "left later", len(withdraw(b, end.Add(2*fleetWindow/bucketsPerWindow))), 7)
}

// borrower returns a budget whose own part is used up, and its last Ask.
func borrower(t *testing.T) (*Budget, Ask) {
	asks := &askRecorder{}
	b := newBudget(asks)
	send(t, withdraw(b, settled), settled)
	return b, asks.last()
}

// Guards against loans that count twice or for longer than the lender counts them.
func TestLoansCountOnceAndInTime(t *testing.T) {
	answer := settled.Add(200 * time.Millisecond)
	b, ask := borrower(t)
	b.Borrow(ask, 1, answer)
	b.Borrow(ask, 1, answer)                                                     // the datagram came twice
	b.Borrow(Ask{Service: fleetService, Tokens: 4, Seq: ask.Seq + 1}, 2, answer) // to another process
	wantCount(t, "one loan", len(withdraw(b, answer)), loanTokens)
	b, ask = borrower(t)
	b.Borrow(ask, 1, settled.Add(loanTerm))
	wantCount(t, "a late loan", len(withdraw(b, settled.Add(loanTerm))), 0)
	b, ask = borrower(t)
	b.Borrow(ask, 1, answer)
	wantCount(t, "a loan that has ended", len(withdraw(b, settled.Add(loanTerm))), 0)
}

// Guards against a borrowed retry that waits for a server and is sent when the lender no longer counts it.
func TestBorrowedRetryIsNotSentAfterTheLoan(t *testing.T) {
	b, ask := borrower(t)
	b.Borrow(ask, 1, settled)
	held := withdraw(b, settled)
	wantCount(t, "borrowed", len(held), loanTokens)
	held[0].Return()
	if last := settled.Add(loanTerm - 1); !held[1].Sent(last) {
		t.Error("not sent at the end of the loan")
	}
	wantCount(t, "returned to the loan", len(withdraw(b, settled.Add(loanTerm-1))), 1)
	if held[2].Sent(settled.Add(loanTerm)) {
		t.Error("sent after the loan, with the own part used up")
	}
	if !held[3].Sent(settled.Add(time.Minute)) {
		t.Error("not sent from the own part")
	}
	wantCount(t, "left of the own part", len(withdraw(b, settled.Add(time.Minute))), 9)
}

// Guards against entries that ask each other without end while all have used up their budgets.
func TestAsksBecomeRareWithoutLoans(t *testing.T) {
	asks := &askRecorder{}
	b := newBudget(asks)
	send(t, withdraw(b, settled), settled)
	for at := settled; at < settled.Add(9*time.Second); at = at.Add(10 * time.Millisecond) {
		withdraw(b, at)
	}
	if n := len(*asks); n < 9 || n > 14 {
		t.Errorf("%d asks in 9 s", n)
	}
}

// Guards against callers at one entry who get nothing of a slack that the others don't use.
func TestLendingServesCallersOfOneEntry(t *testing.T) {
	alone := budgetDay{entries: 29, perSecond: 60, pressure: always, receiving: 1}
	lending := alone
	lending.lends = true
	without, with := len(alone.play().retries), len(lending.play().retries)
	if with < 3*without/2 {
		t.Errorf("%d retries with lending, %d without", with, without)
	}
}

// Guards against a panic right after the boot of a VM, when a window begins before it.
func TestBudgetRightAfterBoot(t *testing.T) {
	b := New(Options{Ratio: 1, Slack: 10, Window: fleetWindow, ArrivalDelay: fleetArrivalDelay}, 0)
	b.SetEntries(1, 0)
	b.RecordRequest(fleetService, 1)
	b.RecordRequest(fleetService, 1)
	wantCount(t, "of two requests", len(withdraw(b, 2)), 1)
}
