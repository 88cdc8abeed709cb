package warmup

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/briarturn/briarturn/upstream"
)

const instance = "i-1"

func nameList(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("e%d", i)
	}
	return out
}

// Entries that know the same names share all of an allowance and no more, also where
// there are more entries than sends.
func TestPartsAddUpToTheAllowance(t *testing.T) {
	epoch := time.Unix(1000, 0)
	for _, entries := range []int{1, 5, 30, 430} {
		for _, rate := range []float64{0.5, 1, 2, 26, 31.9, 500} {
			sum, taken := 0, 0
			for _, name := range nameList(entries) {
				l := NewLimiter(name, epoch)
				now := epoch.Add(time.Minute)
				l.SetEntries(nameList(entries), now)
				for l.TryAcquire(instance, rate, now) {
					taken++
				}
				sum += l.partLocked(instance, int(rate))
			}
			if sum != int(rate) || taken != sum {
				t.Errorf("%d entries: parts %d, taken %d of %v", entries, sum, taken, rate)
			}
		}
	}
}

// A process that has just started knows neither the others nor what an earlier life of it
// has sent: it sends nothing to cold servers.
func TestNothingIsSentInTheFirstMoments(t *testing.T) {
	epoch := time.Unix(1000, 0)
	l := NewLimiter("e0", epoch)
	if l.CanSend(instance, 100, epoch.Add(time.Minute)) {
		t.Error("sends before it knows the others")
	}
	l.SetEntries(nameList(3), epoch)
	if l.CanSend(instance, 100, epoch.Add(sendWindow-1)) {
		t.Error("sends in its first moments")
	}
	if !l.CanSend(instance, 100, epoch.Add(sendWindow)) {
		t.Error("never sends")
	}
}

// A send that waits for its connection reaches the server beside the next second's.
func TestSendsThatAreHeldUpStayASecondApart(t *testing.T) {
	epoch := time.Unix(1000, 0)
	l := NewLimiter("e0", epoch)
	l.SetEntries(nil, epoch)
	first := epoch.Add(time.Minute)
	if !l.TryAcquire(instance, 1, first) {
		t.Fatal("the first is refused")
	}
	arrives := first.Add(upstream.DefaultDialTimeout)
	for at := first; at.Sub(arrives) < time.Second; at = at.Add(10 * time.Millisecond) {
		if l.TryAcquire(instance, 1, at) {
			t.Fatalf("a second send %v after the arrival of the first", at.Sub(arrives))
		}
	}
}

// The part of an entry doesn't grow at the moment at which another one is gone, whose last
// sends are still under way.
func TestPartDoesNotGrowAtOnce(t *testing.T) {
	epoch := time.Unix(1000, 0)
	l := NewLimiter("e0", epoch)
	l.SetEntries(nameList(10), epoch)
	l.SetEntries(nameList(1), epoch.Add(10*time.Second))
	if part := l.partLocked(instance, 10); part != 1 {
		t.Errorf("part %d", part)
	}
	l.entries.forget(epoch.Add(10*time.Second + forgetAfter))
	if part := l.partLocked(instance, 10); part != 10 {
		t.Errorf("part %d after a minute", part)
	}
}

// An entry that was listed for long counts as gone for long at the moment at which it goes, so
// that the others take over its part while its last sends are under way; or it counts for ever
// since nobody else comes or goes.
func TestPartOfALongListedEntryIsKeptForAWhile(t *testing.T) {
	epoch := time.Unix(1000, 0)
	l := NewLimiter("e0", epoch)
	l.SetEntries(nameList(10), epoch)
	gone := epoch.Add(time.Hour)
	l.SetEntries(nameList(1), gone)
	takes := func(now time.Time) int {
		n := 0
		for l.TryAcquire(instance, 10, now) {
			n++
		}
		return n
	}
	if n := takes(gone.Add(time.Second)); n != 1 {
		t.Errorf("%d sends right after the others have gone, want its own part, 1", n)
	}
	if n := takes(gone.Add(forgetAfter + time.Second)); n != 10 {
		t.Errorf("%d sends a minute later, want all 10", n)
	}
}

// member is one process of an entry in the play of many.
type member struct {
	*Limiter
	frozen time.Time // until then
	cut    bool      // hears of no more names
}

// A cold server gets more in a second than operators declare, and crashes: by joins, cuts,
// freezes and restarts, in any order, and by lists that come late.
//
// Entries that know all names add up to the allowance; each that joins meanwhile adds a part
// at most until the others know of it.
func TestNoOrderOfEventsOverloadsAColdServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		epoch := time.Unix(1000, 0)
		n := rapid.IntRange(1, 12).Draw(t, "entries")
		rate := rapid.IntRange(1, 40).Draw(t, "rate")
		listed := nameList(n)
		joins := rapid.Bool().Draw(t, "joins")
		var members []*member
		for _, name := range listed {
			m := &member{Limiter: NewLimiter(name, epoch)}
			m.SetEntries(listed, epoch)
			members = append(members, m)
		}
		now, joined := epoch.Add(2*time.Second), 0
		var sends []time.Time
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			m := members[rapid.IntRange(0, len(members)-1).Draw(t, "entry")]
			event := rapid.IntRange(0, 9).Draw(t, "event")
			if event == 0 && !joins {
				continue
			}
			switch event {
			case 0:
				joined++
				name := fmt.Sprintf("new%d", joined)
				listed = append(listed, name)
				fresh := &member{Limiter: NewLimiter(name, now)}
				fresh.SetEntries(listed, now)
				members = append(members, fresh)
			case 1:
				m.cut = true
			case 2:
				m.frozen = now.Add(3 * time.Second)
			case 3:
				m.Limiter = NewLimiter(m.self, now) // restarted
				m.SetEntries(listed, now)
			case 4:
				if !m.cut {
					m.SetEntries(listed, now)
				}
			case 5: // all who can hear do
				for _, other := range members {
					if !other.cut {
						other.SetEntries(listed, now)
					}
				}
			default: // as much as may be
				for _, other := range members {
					for now.After(other.frozen) && other.TryAcquire(instance, float64(rate), now) {
						held := time.Duration(rapid.IntRange(0, 400).Draw(t, "held")) * time.Millisecond
						sends = append(sends, now.Add(held))
					}
				}
			}
		}
		most := rate + joined*int(math.Ceil(float64(rate)/float64(n)))
		if got := mostInASecond(sends); got > most {
			t.Fatalf("%d in a second, %d are borne by %d entries, %d joined", got, rate, n, joined)
		}
	})
}

func mostInASecond(sends []time.Time) int {
	slices.SortFunc(sends, time.Time.Compare)
	most, from := 0, 0
	for i, at := range sends {
		for at.Sub(sends[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}
