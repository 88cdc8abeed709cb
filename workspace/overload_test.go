package workspace

import (
	"fmt"
	"testing"
	"time"
)

// evenStreams returns streams of equal workspaces that all entries see.
func evenStreams(f *fleet, workspaces int, perSecond float64) []arrivals {
	streams := make([]arrivals, workspaces)
	for i := range streams {
		streams[i] = arrivals{workspace: fmt.Sprintf("w%d", i), perSecond: perSecond / float64(workspaces), subjects: 4, entries: f.entries}
	}
	return streams
}

// normalLoad is normal traffic as a part of what all servers take.
const normalLoad = 0.75

// surge plays 1.8 times the traffic on three fifths of the servers for some seconds, and normal
// traffic before and after it. It returns the counts during the surge and after it.
func surge(f *fleet, lasts time.Duration) (during, after tally) {
	const lost = fleetSlots * 2 / 5
	f.play(time.Second, evenStreams(f, 12, normalLoad*fleetRate))
	f.results = map[string]*tally{}
	f.free -= lost // negative until as many requests have ended
	f.play(lasts, evenStreams(f, 12, 1.8*normalLoad*fleetRate))
	during = f.sum(anyWorkspace)
	during.least = f.leastInTime()
	f.results = map[string]*tally{}
	f.free += lost
	f.play(callTimeout, evenStreams(f, 12, normalLoad*fleetRate))
	return during, f.sum(anyWorkspace)
}

// Guards against serving everybody a little late: when 1.8 times the traffic meets three fifths of
// the servers, order of arrival serves all, but few on time.
func TestSurgeIsServedOnTimeAsFarAsRoomGoes(t *testing.T) {
	for entries, lasts := range map[int]time.Duration{1: 2 * time.Second, 12: 5 * time.Second} {
		byArrival, byTurns := newFleet(entries), newFleet(entries)
		byArrival.fifo = true
		before, beforeAfter := surge(byArrival, lasts)
		got, after := surge(byTurns, lasts)
		t.Logf("%d entries, %v: on time by arrival %.3f, afterwards %.3f; by turns %.3f, %.3f", entries, lasts,
			before.inTime(), beforeAfter.inTime(), got.inTime(), after.inTime())
		t.Logf("during %+v, after %+v", got, after)
		if got.inTime() < 2*before.inTime() || after.inTime() < 2*beforeAfter.inTime() {
			t.Errorf("%d entries, %v: the share on time isn't doubled", entries, lasts)
		}
		const room = 3.0 / 5 / (1.8 * normalLoad) // for this part of the requests
		if bound := 0.9 * room * (1 - 1.0/lateStartInterval); got.inTime() < bound {
			t.Errorf("%d entries, %v: %.3f on time, want %.3f", entries, lasts, got.inTime(), bound)
		}
		if got.late == 0 || share(got.late, got.onTime+got.late) > 1.1/lateStartInterval {
			t.Errorf("%d entries, %v: %d served late beside %d on time", entries, lasts, got.late, got.onTime)
		}
		if got.least < got.inTime()/2 {
			t.Errorf("%d entries, %v: a workspace has %.3f on time, all %.3f", entries, lasts, got.least, got.inTime())
		}
		if after.inTime() < 0.95 {
			t.Errorf("%d entries, %v: %.3f on time after the surge", entries, lasts, after.inTime())
		}
	}
}

// maxHeld is the part of the refused requests of a long shortage that may have waited for half of
// their time: those that come before it is known that it lasts, and those whose late start fails
// to come by a little.
const maxHeld = 1.0 / 8

// Guards against holding requests until their time is over during a long shortage, although it
// could be known that they would not be served.
func TestHopelessRequestsAreNotHeld(t *testing.T) {
	for _, entries := range []int{1, 12} {
		f := newFleet(entries)
		f.play(12*time.Second, evenStreams(f, 12, 2*fleetRate))
		all := f.sum(anyWorkspace)
		t.Logf("%d entries: %+v", entries, all)
		if share(all.held, all.refused) > maxHeld {
			t.Errorf("%d entries: %d of %d refused ones had waited for half of their time", entries, all.held, all.refused)
		}
	}
}
