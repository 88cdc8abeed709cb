package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	memory "github.com/briarturn/briarturn/internal/standin/objectapi"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/platform/standin"
)

const (
	// restoreEvery is the mean time between two returns of the store from an older copy.
	restoreEvery = 9 * time.Second
	// copyAgeLeast and copyAgeMost are how old the copy is.
	copyAgeLeast, copyAgeMost = 500 * time.Millisecond, 4 * time.Second
	// storeAway is how long the store is away before it returns.
	storeAway = 700 * time.Millisecond
	// writtenAgain is the time after the return at which the operator and the servers begin to write
	// again what the store lost.
	writtenAgain = 400 * time.Millisecond
	// stormEvery is the time between two storms, in which entries are killed while servers fail.
	stormEvery = 14 * time.Second
	// stormPart is the part of the entries that a storm kills.
	stormPart = 0.75
)

// restoreSteps are the returns of the store from older copies. They are drawn apart, as declaredSteps.
func restoreSteps(seed uint64, lasts time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 7))
	var out []Step
	for at := calmStart; at < lasts; at += time.Duration(r.ExpFloat64() * float64(restoreEvery)) {
		out = append(out, Step{At: at, For: copyAgeLeast + time.Duration(r.Int64N(int64(copyAgeMost-copyAgeLeast))), Fault: StoreRestore})
	}
	return out
}

// stormSteps kill most entries, twice in a row, while all servers reset connections.
func stormSteps(seed uint64, lasts time.Duration, entries, servers int) []Step {
	r := rand.New(rand.NewPCG(seed, 8))
	var out []Step
	for at := stormEvery / 2; at < lasts; at += stormEvery {
		for i := range servers {
			out = append(out, Step{At: at, For: faultMost, Fault: ServerReset, Target: i})
		}
		for i := range entries {
			if r.Float64() < stormPart {
				first := at + time.Duration(r.Int64N(int64(faultMost/2)))
				out = append(out, Step{At: first, For: faultLeast, Fault: EntryKill, Target: i}, Step{At: first + faultMost/2, For: faultLeast, Fault: EntryKill, Target: i})
			}
		}
	}
	return out
}

// restoreStore takes a copy of the store, lets the time of the step pass, and brings the store back from
// the copy. Then the operator and the servers write again what it lost. Other changes of the
// configuration wait meanwhile, but not while the copy ages.
func (b *breaker) restoreStore(age time.Duration) error {
	if err := b.controlStore("copy", nil); err != nil {
		return err
	}
	time.Sleep(age)
	b.config.Lock()
	defer b.config.Unlock()
	if err := b.setFaults(memory.Faults{Down: true}); err != nil {
		return err
	}
	time.Sleep(storeAway)
	if err := b.controlStore("restore", nil); err != nil {
		return err
	}
	if err := b.setFaults(memory.Faults{}); err != nil {
		return err
	}
	time.Sleep(writtenAgain)
	return b.writeAgain()
}

// writeAgain writes what the operator and the servers have written as they have it.
func (b *breaker) writeAgain() error {
	f := b.fleet
	err := untilDone(func(ctx context.Context) error {
		return f.put(ctx, standin.ConfigurationKind, standin.ConfigurationName, f.configuration())
	})
	if err != nil {
		return errors.Annotate(err, "step write the configuration again")
	}
	for _, s := range f.servers {
		err := untilDone(func(ctx context.Context) error { return f.put(ctx, standin.RegistrationKind, s.name, s.registration()) })
		if err != nil {
			return errors.Annotatef(err, "step register %s again", s.name)
		}
	}
	return b.evacuateAgain()
}

// evacuateAgain evacuates the zones that are evacuated, and restores the others.
func (b *breaker) evacuateAgain() error {
	for _, zone := range zoneNames {
		err := untilDone(func(ctx context.Context) error {
			if b.fleet.isEvacuated(zone) {
				return b.fleet.put(ctx, standin.EvacuationKind, zone, json.RawMessage(`{}`))
			}
			return b.fleet.remove(ctx, standin.EvacuationKind, zone)
		})
		if err != nil {
			return errors.Annotatef(err, "step declare %s again", zone)
		}
	}
	return nil
}

// put writes an object, whether it exists or not.
func (f *fleet) put(ctx context.Context, kind, name string, data json.RawMessage) error {
	o, err := f.client.Get(ctx, kind, name)
	if errors.Is(err, objectapi.ErrNotFound) {
		_, err = f.client.Create(ctx, kind, name, data)
		return err
	}
	if err != nil {
		return err
	}
	_, err = f.client.Update(ctx, kind, name, data, o.Version)
	return err
}

// remove deletes an object if it exists.
func (f *fleet) remove(ctx context.Context, kind, name string) error {
	o, err := f.client.Get(ctx, kind, name)
	if err == nil {
		_, err = f.client.Delete(ctx, kind, name, o.Version)
	}
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil
	}
	return err
}
