package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/platform/standin"
)

// evacuate evacuates a zone for a while.
func (b *breaker) evacuate(zone string, d time.Duration) error {
	err := untilDone(func(ctx context.Context) error {
		return b.fleet.put(ctx, standin.EvacuationKind, zone, json.RawMessage(`{}`))
	})
	if err != nil {
		return errors.Annotatef(err, "step empty %s", zone)
	}
	b.fleet.setEvacuated(zone, true)
	e := evacuated{zone: zone, from: time.Now()}
	time.Sleep(d)
	e.to = time.Now()
	b.fleet.record.evacuation(e)
	b.fleet.setEvacuated(zone, false)
	err = untilDone(func(ctx context.Context) error { return b.fleet.remove(ctx, standin.EvacuationKind, zone) })
	return errors.Annotatef(err, "step restore %s", zone)
}

// chill has a server say that it is cold.
func (b *breaker) chill(s *serverProcess, d time.Duration) error {
	var warm time.Time // as registered, which is earlier than the write's end and d
	err := b.register(s, func() {
		warm = time.Now().Add(d)
		s.setCold(warm)
	})
	if err != nil {
		return err
	}
	b.fleet.record.coldness(cold{instance: s.name, from: time.Now(), to: warm})
	time.Sleep(min(coldNotice, d))
	err = s.overruns(warm)
	time.Sleep(max(d-coldNotice, 0))
	return err
}

// register writes a server's registration. change is called right before each write.
func (b *breaker) register(s *serverProcess, change func()) error {
	client := b.fleet.client
	err := untilDone(func(ctx context.Context) error {
		o, err := client.Get(ctx, standin.RegistrationKind, s.name)
		if err != nil {
			return err
		}
		change()
		_, err = client.Update(ctx, standin.RegistrationKind, s.name, s.registration(), o.Version)
		return err
	})
	return errors.Annotatef(err, "step register %s", s.name)
}

// overruns has the server crash, until it is warm, if it gets well more than a cold one bears.
// A server that stands still hears of it late.
func (s *serverProcess) overruns(warm time.Time) error {
	d := time.Until(warm)
	if d <= 0 {
		return nil
	}
	const wellAbove = 3
	most := wellAbove * (coldOverage*coldPerSecond + coldSlack)
	at := fmt.Sprintf("http://%s%s?ms=%d&until=%d&most=%d", s.address, standin.PathCold, d.Milliseconds(), warm.UnixMilli(), int(most))
	client := &http.Client{Timeout: coldNotice}
	response, err := client.Get(at)
	if err != nil {
		return errors.Annotatef(err, "step chill, peer %s", s.name) // it is down or stands still just now
	}
	return errors.Trace(response.Body.Close())
}

// untilDone writes to a store that may be away, until it says that it is done.
func untilDone(write func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	for {
		err := write(ctx)
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(lookEvery)
	}
}

// judgePlaces holds where requests ran against evacuated zones, cold servers and allowed regions.
func (r *record) judgePlaces() []Violation {
	var out []Violation
	keys := map[string]string{}
	for _, q := range r.requests {
		keys[q.ID] = q.Key
	}
	for _, a := range r.arrivals {
		if !a.Ran {
			continue
		}
		if zone := r.zones[a.Instance]; keys[a.ID] == boundKey && regions[zone] != boundRegion {
			out = append(out, Violation{PromiseRegion, fmt.Sprintf("%s ran on %s in %s", a.ID, a.Instance, zone)})
		}
		for _, e := range r.evacuated {
			late := a.At.Sub(e.from)
			if r.zones[a.Instance] == e.zone && late > evacuateLimit+evacuateSlack && a.At.Before(e.to) && !r.heldUp(a) {
				out = append(out, Violation{PromiseEvacuated, fmt.Sprintf("%s ran on %s in %s, evacuated %v before", a.ID, a.Instance, e.zone, late)})
			}
		}
	}
	for _, c := range r.cold {
		out = append(out, r.judgeCold(c)...)
	}
	return out
}

// heldUp reports whether an arrival may have been sent long before: its server stood still, the
// link to it was broken, or an entry stood still.
func (r *record) heldUp(a arrival) bool {
	return slices.ContainsFunc(r.spans, func(s span) bool {
		here := serverName(s.Target) == a.Instance && slices.Contains([]Fault{ServerPause, ServerCut, ServerDelay}, s.Fault)
		held := here || s.Fault == EntryPause
		return held && s.From.Before(a.At) && a.At.Sub(s.To) < callPatience
	})
}

// judgeCold counts what a cold server got in each second, from when all entries know of it.
func (r *record) judgeCold(c cold) []Violation {
	var at []time.Time
	for _, a := range r.arrivals {
		if a.Instance == c.instance && a.Ran && a.At.Sub(c.from) > coldNotice && a.At.Before(c.to) && !r.heldUp(a) {
			at = append(at, a.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	most := int(coldOverage*coldPerSecond) + coldSlack
	for i := range at {
		if n := countBefore(at, at[i].Add(time.Second)) - i; n > most {
			return []Violation{{PromiseCold, fmt.Sprintf("%s got %d requests in a second, cold for %v", c.instance, n, at[i].Sub(c.from))}}
		}
	}
	return nil
}
