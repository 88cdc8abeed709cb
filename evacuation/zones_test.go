package evacuation

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/briarturn/briarturn/internal/boottime"
)

func newZones() (*Zones, *boottime.Instant) {
	now := boottime.Instant(time.Hour)
	return NewZones(func() boottime.Instant { return now }), &now
}

// An entry that has just started must not treat zones as usable before it has the complete
// list.
func TestAgeIsUnknownBeforeFirstList(t *testing.T) {
	z, now := newZones()
	if _, ok := z.Age(); ok {
		t.Error("age known before the first list")
	}
	z.Begin("a")
	if _, ok := z.Age(); ok {
		t.Error("a single event counts as the complete list")
	}
	z.Replace(nil, *now)
	*now = now.Add(3 * time.Second)
	if age, ok := z.Age(); !ok || age != 3*time.Second {
		t.Errorf("age %v, %v", age, ok)
	}
}

// An evacuation that ends and begins again within a second is in force.
func TestEvacuationRepeatedRightAfterEndHolds(t *testing.T) {
	z, now := newZones()
	z.Replace(nil, *now)
	z.Begin("a")
	z.End("a")
	z.Begin("a")
	if v := z.View(now.Add(time.Minute)); !v.Evacuated("a") || v.RecentlyRestored("a") {
		t.Errorf("evacuated %v, restored %v", v.Evacuated("a"), v.RecentlyRestored("a"))
	}
}

// A server that became cold in an evacuated zone would count as warm if the end of the
// evacuation is read before the server's new registration.
func TestZoneIsRecentlyRestoredUntilServersAreRefreshed(t *testing.T) {
	z, now := newZones()
	z.Replace([]string{"a"}, *now)
	listed := *now
	*now = now.Add(time.Second)
	began, ended := z.Replace([]string{"b"}, *now)
	if diff := cmp.Diff([][]string{{"b"}, {"a"}}, [][]string{began, ended}); diff != "" {
		t.Error(diff)
	}
	if v := z.View(listed); v.Evacuated("a") || !v.RecentlyRestored("a") || !v.Evacuated("b") {
		t.Error("a restored zone counts as warm before its servers were read again")
	}
	if z.View(now.Add(time.Millisecond)).RecentlyRestored("a") {
		t.Error("a zone stays recently restored although its servers were read again")
	}
}

// The final state follows from the last list and the events after it, in whatever order
// evacuations begin and end.
func TestZonesFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		z, now := newZones()
		want := map[string]bool{}
		z.Replace(nil, *now)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			*now = now.Add(10 * time.Millisecond)
			zone := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				z.Begin(zone)
				want[zone] = true
			case 1:
				z.End(zone)
				delete(want, zone)
			default:
				want = map[string]bool{zone: true}
				z.Replace([]string{zone}, *now)
			}
		}
		for _, zone := range []string{"a", "b", "c"} {
			if z.Evacuated(zone) != want[zone] {
				t.Fatalf("zone %s evacuated: %v", zone, z.Evacuated(zone))
			}
		}
	})
}
