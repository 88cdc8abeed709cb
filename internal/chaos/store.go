package chaos

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/declared"
	standinobjectapi "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
)

// storeFaults combines the faults of the store that are in force together. mu
// guards on.
type storeFaults struct {
	memory *standinobjectapi.Memory
	mu     sync.Mutex
	on     []*func(*standinobjectapi.Faults)
}

// begin adds a fault; the function that it returns takes it away.
func (s *storeFaults) begin(change func(*standinobjectapi.Faults)) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on = append(s.on, &change)
	s.apply()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for i, one := range s.on {
			if one == &change {
				s.on = append(s.on[:i], s.on[i+1:]...)
				break
			}
		}
		s.apply()
	}
}

func (s *storeFaults) apply() {
	var f standinobjectapi.Faults
	for _, change := range s.on {
		(*change)(&f)
	}
	s.memory.SetFaults(f)
}

// Racing operators.
const (
	racers      = 4
	editsEach   = 5
	editTimeout = 2 * time.Second
	editPause   = 20 * time.Millisecond
)

// contest counts operators' edits of one object. Each edit adds one to a field,
// so that the final value tells whether an accepted edit was lost. mu guards the
// counts.
type contest struct {
	store   objectapi.Store
	mu      sync.Mutex
	sure    int // accepted
	unknown int // answer lost: accepted or not
}

// run has several operators edit the object at once.
func (c *contest) run(ctx context.Context, rnd *rand.Rand) {
	var group sync.WaitGroup
	for range racers {
		own := rand.New(rand.NewPCG(rnd.Uint64(), rnd.Uint64()))
		group.Go(func() {
			for range editsEach {
				c.edit(ctx)
				time.Sleep(time.Duration(own.Int64N(int64(editPause))))
			}
		})
	}
	group.Wait()
}

func (c *contest) edit(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	err := c.add(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.sure++
	case errors.Is(err, objectapi.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		c.unknown++
	}
}

// add makes one conditional update from the version that it read.
func (c *contest) add(ctx context.Context) error {
	o, policy, err := c.read(ctx)
	if err != nil {
		return err
	}
	policy.Concurrency++
	data, err := json.Marshal(policy)
	if err != nil {
		return err
	}
	_, err = c.store.Update(ctx, declared.KindWorkspacePolicy, contested, data, o.Version)
	return err
}

func (c *contest) read(ctx context.Context) (objectapi.Object, declared.WorkspacePolicy, error) {
	var policy declared.WorkspacePolicy
	o, err := c.store.Get(ctx, declared.KindWorkspacePolicy, contested)
	if err != nil {
		return o, policy, err
	}
	return o, policy, json.Unmarshal(o.Data, &policy)
}

// verify holds the object against the edits that were accepted.
func (c *contest) verify(ctx context.Context, checks *checks) {
	_, policy, err := c.read(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	ok := err == nil && policy.Concurrency >= c.sure && policy.Concurrency <= c.sure+c.unknown
	checks.check(checkNoLostEdit, ok, "%d edits accepted, %d unknown, value %d, %v", c.sure, c.unknown, policy.Concurrency, err)
}
