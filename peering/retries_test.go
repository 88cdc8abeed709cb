package peering

import (
	"testing"
	"time"

	"github.com/briarturn/briarturn/internal/boottime"
	memory "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/retrybudget"
)

// newRetryBudget returns the budget of one of two entries, each with a part of ten retries. A process
// that has just started uses no slack.
func newRetryBudget(justStarted bool) *retrybudget.Budget {
	startedAt := boottime.Now().Add(-time.Hour)
	if justStarted {
		startedAt = boottime.Now()
	}
	b := retrybudget.New(retrybudget.Options{Slack: 20, Window: 10 * time.Second}, startedAt)
	b.SetEntries(2, boottime.Now())
	return b
}

// Guards against an entry that has just started and can't retry anything, while others don't use
// their shares.
func TestStartedEntryBorrowsRetries(t *testing.T) {
	store := memory.NewMemory(memory.Config{})
	lender, started := newRetryBudget(false), newRetryBudget(true)
	a := startEntryWith(t, store, "a", 1, func(c *Config) { c.Retries = lender })
	b := startEntryWith(t, store, "b", 2, func(c *Config) { c.Retries = started })
	started.SetAsker(b.exchange.RetryAsker())
	waitFor(t, "b found a", func() bool { return <-b.entryCounts == 2 })
	waitFor(t, "a found b", func() bool { return <-a.entryCounts == 2 })
	waitFor(t, "b may retry", func() bool { return started.TryWithdraw("s", boottime.Now()) != nil })
	if lent := lender.Usage("s", boottime.Now()).Retries; lent == 0 {
		t.Error("the lender doesn't count what it lent")
	}
}
