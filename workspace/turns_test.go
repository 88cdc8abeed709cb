package workspace

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/briarturn/briarturn/request"
)

// room is a number of free places that all who have the turn may take.
type room struct {
	mu   sync.Mutex
	free int
}

func (r *room) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.free == 0 {
		return false
	}
	r.free--
	return true
}

func (r *room) add(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.free += n
}

// lookInterval is how often the requests of these tests look for room if none is freed.
const lookInterval = time.Minute

// startWithin queues an item and looks for room with each turn until there is some.
func startWithin(ctx context.Context, s *Scheduler, it Item, r *room) (Ticket, *request.Failure) {
	turn, f := s.AwaitTurn(ctx, it)
	if f != nil {
		return Ticket{}, f
	}
	defer turn.Leave()
	for !r.take() {
		if f := turn.Wait(ctx, lookInterval); f != nil {
			return Ticket{}, f
		}
	}
	return turn.Started(), nil
}

// turnOrder queues items one after the other while there is no room, frees room for one after
// the other and returns the order in which they start.
func turnOrder(t *testing.T, s *Scheduler, items ...Item) []string {
	var order []string
	r := &room{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, it := range items {
		wg.Go(func() {
			ticket, f := startWithin(t.Context(), s, it, r)
			mu.Lock()
			defer mu.Unlock()
			if f != nil {
				t.Errorf("%d: %v", i, f)
			}
			order = append(order, fmt.Sprintf("%s%d", it.Workspace, i))
			ticket.Release(it.Cost)
		})
		synctest.Wait()
	}
	for range items {
		time.Sleep(time.Millisecond)
		r.add(1)
		s.RoomFreed("p")
		synctest.Wait()
	}
	wg.Wait()
	return order
}

// Guards against chance deciding who gets the room that comes free.
func TestRoomGoesToTheFirstInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewScheduler(Options{})
		got := turnOrder(t, s, item("a", 100, time.Second), item("a", 100, time.Second), item("a", 100, time.Second),
			item("b", 100, time.Second))
		if diff := cmp.Diff([]string{"a0", "b3", "a1", "a2"}, got); diff != "" {
			t.Error(diff)
		}
		if waiting, running := s.Depth(); waiting+running != 0 {
			t.Errorf("%d wait, %d run", waiting, running)
		}
	})
}
