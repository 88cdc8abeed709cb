//go:build review

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { drivers["idle"] = caseIdle }

// Requests a second of all clients, as the sheet of the site gives them.
const (
	streamsPerSecond  = 34 + 1.86 + 1.56
	confirmsPerSecond = 3.21
	declinesPerSecond = 3.0
)

const (
	// idleFiles is what a front machine has for sockets, 4,100 descriptors less the 200 that
	// are reserved for files, and 20 for the files and pipes of the process itself.
	idleFiles = 4100 - 200 + 20
	// idleTraffic is the time of the traffic.
	idleTraffic = 100 * time.Second
	// lossAt is when three of the four gateways are lost.
	lossAt = 3 * time.Second
	// tapTimeout is timeout_ms of the routes of confirm-tap and decline-tap, and tooLate half a second
	// later.
	tapTimeout = 800 * time.Millisecond
	tooLate    = tapTimeout + 500*time.Millisecond
)

// balancer directs clients to gateways as the platform does.
type balancer struct {
	gateways []*gateway
	mu       sync.Mutex
	misses   []int
}

func (b *balancer) run(stop <-chan struct{}) {
	for {
		var all sync.WaitGroup
		for i, g := range b.gateways {
			all.Go(func() {
				ready := !g.ended() && g.isReady() // another run may have the port of one that is lost
				b.mu.Lock()
				defer b.mu.Unlock()
				b.misses[i]++
				if ready {
					b.misses[i] = 0
				}
			})
		}
		all.Wait()
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// pick returns a gateway in rotation, or the first one if none is.
func (b *balancer) pick() *gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*gateway
	for i, g := range b.gateways {
		if b.misses[i] < 2 {
			in = append(in, g)
		}
	}
	if len(in) == 0 {
		return b.gateways[0]
	}
	return in[rand.IntN(len(in))]
}

// caseIdle sends the traffic of the sheet. Each request comes from another user on a connection of
// its own, which the user leaves idle until the node closes it.
func caseIdle(r *run) (bool, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 2*idleFiles {
		return false, fmt.Errorf("the users need %d open files, %d are allowed (%v)", 2*idleFiles, limit.Cur, err)
	}
	f, err := r.startFleet(fleetOptions{
		engines: 4, apps: 3, engineArgs: []string{"-events", "8"},
		gateway: gatewayOptions{maxFiles: idleFiles}, zones: []string{"hobart", "hobart", "launceston", "burnie"},
	})
	if err != nil {
		return false, err
	}
	b := &balancer{gateways: f.gateways, misses: make([]int, len(f.gateways))}
	stop := make(chan struct{})
	defer close(stop)
	go b.run(stop)

	var mu sync.Mutex
	var taps []*attempt
	open, closedByNode, refused := 0, 0, 0
	user := func(g *gateway, a *attempt, isTap bool) {
		a.send(g.front)
		r.detail("%s to %s", a, g.name)
		mu.Lock()
		if isTap && g == f.gateways[0] {
			taps = append(taps, a)
		}
		if a.sent.IsZero() {
			refused++
		}
		if a.conn == nil {
			mu.Unlock()
			return
		}
		open++
		mu.Unlock()
		_, _ = io.Copy(io.Discard, a.conn) // until the node closes it
		_ = a.conn.Close()
		mu.Lock()
		open--
		closedByNode++
		mu.Unlock()
	}
	begun := time.Now()
	lost := !r.trouble
	nextReport := begun
	total := streamsPerSecond + confirmsPerSecond + declinesPerSecond
	for n := 0; ; n++ {
		at := begun.Add(time.Duration(float64(n) / total * float64(time.Second)))
		time.Sleep(time.Until(at))
		passed := time.Since(begun)
		if passed > idleTraffic {
			break
		}
		if !lost && passed > lossAt {
			lost = true
			for _, g := range f.gateways[1:] {
				r.signal(g.process, syscall.SIGKILL)
			}
		}
		if time.Now().After(nextReport) {
			nextReport = nextReport.Add(5 * time.Second)
			mu.Lock()
			r.note("%5.1f s of traffic: %d users with an idle connection, %d closed by a node, %d connections refused; files of %s: %d, ready: %v",
				passed.Seconds(), open, closedByNode, refused, f.gateways[0].name, openFiles(f.gateways[0].cmd.Process.Pid), f.gateways[0].isReady())
			mu.Unlock()
		}
		draw := rand.Float64() * total
		a := &attempt{id: newAttemptID(), method: http.MethodGet, deadline: 1500 * time.Millisecond}
		switch {
		case draw < confirmsPerSecond:
			a.method, a.path = http.MethodPost, confirmPath+"2f"
			a.bodyBytes, a.body = 600, strings.NewReader(strings.Repeat("b", 600))
		case draw < confirmsPerSecond+declinesPerSecond:
			a.path = declinePath + "2f"
		default:
			a.method, a.path, a.deadline = http.MethodPost, streamPath+"2f", 10*time.Second
			a.bodyBytes, a.body = 1200, strings.NewReader(strings.Repeat("b", 1200))
			a.header = map[string]string{"X-Model": "m", "X-Token-Usage": "4960,344", "X-Prompt-Prefix": "5c1e07a2:40," + strconv.FormatInt(int64(n)+1<<20, 16) + ":4960"}
		}
		go user(b.pick(), a, !strings.HasPrefix(a.path, streamPath))
	}
	time.Sleep(1600 * time.Millisecond) // the last requests reach their deadlines
	mu.Lock()
	defer mu.Unlock()
	return judgeIdle(r, taps, begun.Add(lossAt+stabilityTime))
}

// judgeIdle applies the rule to the gateway that is left: of the requests that are unanswered at
// their route's timeout_ms, no more than half may have no answer half a second later. Callers of
// streams leave at that time, so that theirs show nothing.
func judgeIdle(r *run, taps []*attempt, from time.Time) (bool, error) {
	sent, atTimeout, later := 0, 0, 0
	for _, a := range taps {
		if a.sent.Before(from) {
			continue
		}
		sent++
		if a.unansweredAt(tapTimeout) {
			atTimeout++
		}
		if a.unansweredAt(tooLate) {
			later++
		}
	}
	r.note("confirm-taps and decline-taps at the gateway that was there all the while: %d sent, %d unanswered at timeout_ms (800), %d of these half a second later", sent, atTimeout, later)
	if held := 2*later <= atTimeout; sent == 0 || !r.trouble && held && atTimeout > 0 {
		return false, fmt.Errorf("%d requests sent, %d unanswered, which says nothing of the rule", sent, atTimeout)
	}
	return 2*later <= atTimeout, nil
}

// openFiles returns the number of a process's open files, or -1.
func openFiles(pid int) int {
	list, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	if err != nil {
		return -1
	}
	return len(list)
}
