//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { drivers["drill"] = caseDrill }

const (
	revokedKey = "k7revokedkeyinhobart"
	revokeTime = 5 * time.Second // revoke_ms
	// Times of the drill, from the copy.
	drillRevoked = 400 * time.Millisecond  // a configuration without the key is acknowledged
	drillAway    = 5 * time.Second         // the store is away
	drillAdded   = 5200 * time.Millisecond // a machine is added
	drillBack    = 6 * time.Second         // the store is back with the copy
	drillWritten = 9 * time.Second         // the operator has written again what was lost
	drillEnd     = 10500 * time.Millisecond
	// drillPause is the pause between two requests with the key.
	drillPause = 25 * time.Millisecond
)

// caseDrill adds a machine while the store is away and comes back from an older copy, in which a key
// is still there that was revoked before.
func caseDrill(r *run) (bool, error) {
	f, err := r.startFleet(fleetOptions{
		engines: 2, apps: 3, zones: []string{"hobart", "hobart", "launceston", "burnie"},
		storeArgs: []string{"-era", "1"}, keys: []string{apiKey, revokedKey},
	})
	if err != nil {
		return false, err
	}
	added, err := r.newGateway("front-hobart-5", "hobart", f.store)
	if err == nil {
		err = added.writeSettings(false)
	}
	if err != nil {
		return false, err
	}
	time.Sleep(stabilityTime)
	d := &drillRun{run: r, fleet: f, store: "http://" + f.store + "/standin/"}
	d.copied = time.Now()
	acked, err := d.play(added)
	if err != nil {
		return false, err
	}
	return d.judge(acked)
}

// drillRun is a run of caseDrill.
type drillRun struct {
	*run
	fleet  *fleet
	store  string
	copied time.Time

	revoked []drillAttempt // with the revoked key
	sound   []drillAttempt // with the other one
	sending sync.WaitGroup
}

// drillAttempt is a request and the gateway to which it was sent.
type drillAttempt struct {
	*attempt
	gateway string
}

// play takes the steps of the case in order, and returns when the revocation was acknowledged.
func (d *drillRun) play(added *gateway) (acked time.Time, err error) {
	if err := call(http.MethodPost, d.store+"copy", nil); err != nil {
		return acked, err
	}
	d.note("the copy of the store is made")
	d.until(drillRevoked)
	d.send(d.fleet.gateways[0], revokedKey) // runs: it is not revoked yet
	if err := call(http.MethodPost, d.store+"config", configuration(2)); err != nil {
		return acked, err
	}
	acked = time.Now()
	d.note("version 2 without the key is acknowledged")
	d.until(drillAway)
	if d.trouble {
		if err := call(http.MethodPost, fmt.Sprintf("%srestore?away_ms=%d", d.store, (drillBack-drillAway).Milliseconds()), nil); err != nil {
			return acked, err
		}
		d.note("the store is away")
	}
	written := make(chan error, 1)
	go func() { written <- d.writeAgain() }()
	d.until(drillAdded)
	d.releasePorts()
	if err := d.startGateway(added, gatewayOptions{}); err != nil {
		return acked, err
	}
	defer d.signal(added.process, syscall.SIGKILL)
	if err := waitFor(time.Until(d.copied.Add(drillEnd)), added.name+" ready", added.isReady); err != nil {
		return acked, err
	}
	d.note("%s is ready", added.name)
	for time.Since(d.copied) < drillEnd {
		d.send(added, revokedKey)
		d.send(d.fleet.gateways[0], revokedKey)
		d.send(added, apiKey)
		time.Sleep(drillPause)
	}
	d.sending.Wait()
	return acked, <-written
}

// writeAgain writes as the operator what the store has lost.
func (d *drillRun) writeAgain() error {
	d.until(drillWritten)
	if err := call(http.MethodPost, d.store+"config", configuration(2)); err != nil {
		return err
	}
	d.note("the operator has written version 2 again")
	return nil
}

// until waits until a time after the copy.
func (d *drillRun) until(after time.Duration) { time.Sleep(time.Until(d.copied.Add(after))) }

// send sends a confirm-tap with a key.
func (d *drillRun) send(g *gateway, key string) {
	a := drillAttempt{gateway: g.name, attempt: &attempt{
		id: newAttemptID(), method: http.MethodPost, path: fmt.Sprintf("%s%d", confirmPath, len(d.revoked)), deadline: 1500 * time.Millisecond,
		key: key, body: strings.NewReader("yes"), bodyBytes: 3,
	}}
	if key == revokedKey {
		d.revoked = append(d.revoked, a)
	} else {
		d.sound = append(d.sound, a)
	}
	d.sending.Go(func() {
		a.send(g.front)
		if a.conn != nil {
			_ = a.conn.Close()
		}
	})
}

// judge applies the rule: of the requests that were sent later than revoke_ms after the
// acknowledgement, none with the key runs.
func (d *drillRun) judge(acked time.Time) (bool, error) {
	runs, err := d.fleet.runs()
	if err != nil {
		return false, err
	}
	late, ranLate, served := map[string]int{}, map[string]int{}, 0
	for _, a := range d.revoked {
		ran := strings.Contains(runs, a.id)
		d.detail("%s, to %s with the revoked key, sent %d ms after the acknowledgement, ran: %v", a, a.gateway, a.sent.Sub(acked).Milliseconds(), ran)
		if a.sent.Sub(acked) <= revokeTime {
			continue
		}
		late[a.gateway]++
		if ran {
			ranLate[a.gateway]++
		}
	}
	for _, a := range d.sound {
		d.detail("%s, to %s with the other key", a, a.gateway)
		if a.status == http.StatusOK {
			served++
		}
	}
	broken := 0
	for name, sent := range late {
		d.note("%s: of %d requests with the revoked key sent later than %v after the acknowledgement, %d ran", name, sent, revokeTime, ranLate[name])
		broken += ranLate[name]
	}
	d.note("%d of %d with the other key were served", served, len(d.sound))
	if !d.trouble && broken == 0 && (len(late) < 2 || served < len(d.sound)) {
		return false, fmt.Errorf("without the disruption, %d of %d requests with the other key were served", served, len(d.sound))
	}
	return broken == 0, nil
}
