//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { drivers["bodies"] = caseBodies }

const (
	// memoryMB is memory_mb of a front machine, and maxBodyBytes is max_body_bytes of the
	// configuration.
	memoryMB     = 284
	maxBodyBytes = 4194304
	// clientBytesPerSecond is what a client sends: 10 Mbit/s. All clients of the burst together use
	// half of the link of a front machine, 1,000 Mbit/s.
	clientBytesPerSecond = 10 * 1000 * 1000 / 8
	// burstTimes and burstTime are the dose of the burst: so many times the traffic of the sheet,
	// for so long.
	burstTimes = 2.4
	burstTime  = 2 * time.Second
	// keptClients send the streams of the sheet, each on a connection that it keeps.
	keptClients = 72
	// bursts is their number, and burstPause the time from the end of one to the next.
	bursts     = 3
	burstPause = 13 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// maxEnds is the number of ends on a machine at which it counts.
	maxEnds = 3
)

// pacedBody is a body that is sent at the speed of a client's link.
type pacedBody struct {
	left, sent int
	begun      time.Time
}

func (p *pacedBody) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	if p.begun.IsZero() {
		p.begun = time.Now()
	}
	n := min(len(b), p.left, 16<<10)
	for i := range n {
		b[i] = 'b'
	}
	p.left -= n
	p.sent += n
	time.Sleep(time.Until(p.begun.Add(time.Duration(float64(p.sent) / clientBytesPerSecond * float64(time.Second)))))
	return n, nil
}

// residentMB returns the resident memory of a process in MiB, 0 if it is gone.
func residentMB(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// memoryGuard is the platform's: a process that exceeds memory_mb is killed, and started again
// after a short delay.
type memoryGuard struct {
	peak, ends int
	err        error // of a start
}

func (m *memoryGuard) watch(r *run, g *gateway, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := residentMB(g.cmd.Process.Pid)
		m.peak = max(m.peak, used)
		if used <= memoryMB {
			continue
		}
		m.ends++
		r.note("%s uses %d MB of %d", g.name, used, memoryMB)
		r.signal(g.process, syscall.SIGKILL)
		<-g.done
		time.Sleep(restartDelay)
		if m.err = r.startGateway(g, gatewayOptions{}); m.err != nil {
			return
		}
	}
}

// streamAttempt is a notice-draft with a body of so many bytes.
func streamAttempt(n int, body io.Reader, bodyBytes int) *attempt {
	return &attempt{
		id: newAttemptID(), method: http.MethodPost, path: streamPath + strconv.Itoa(n), deadline: 10 * time.Second,
		body: body, bodyBytes: bodyBytes,
		header: map[string]string{"X-Model": "m", "X-Token-Usage": "4960,688", "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:4960", 1<<20+n)},
	}
}

// caseBodies has many users come at once, three times in the day, each with a body of the size that
// the configuration allows, while others send the streams of the sheet on connections that they keep.
func caseBodies(r *run) (bool, error) {
	f, err := r.startFleet(fleetOptions{
		engines: 6, apps: 1, engineArgs: []string{"-events", "16", "-gap", "100ms", "-first", "300ms"},
		zones: []string{"hobart", "hobart", "launceston", "burnie"},
	})
	if err != nil {
		return false, err
	}
	for _, g := range f.gateways { // from now on a start is not the first of the whole system
		if err := g.writeSettings(false); err != nil {
			return false, err
		}
	}
	guards := make([]memoryGuard, len(f.gateways))
	stopGuards, stopClients := make(chan struct{}), make(chan struct{})
	var guarding, clients, users sync.WaitGroup
	for i, g := range f.gateways {
		guarding.Go(func() { guards[i].watch(r, g, stopGuards) })
	}
	var mu sync.Mutex
	var kept []*attempt // sent on connections that had an answer before
	for i := range keptClients {
		g := f.gateways[i%len(f.gateways)]
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)
			for n := i * 1000; !stopped(stopClients); {
				n = sendKept(g.front, n, stopClients, func(a *attempt) {
					r.detail("%s to %s, kept connection", a, g.name)
					mu.Lock()
					defer mu.Unlock()
					kept = append(kept, a)
				})
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(6 * time.Second) // the machines are in touch and the kept connections in use
	for range bursts {
		if r.trouble {
			r.burst(f, &users)
		}
		time.Sleep(burstPause)
	}
	close(stopClients)
	users.Wait()
	clients.Wait()
	close(stopGuards)
	guarding.Wait()
	return judgeEnds(r, f, guards, kept)
}

func stopped(stop <-chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}

// burst has users come at burstTimes the rate of the sheet.
func (r *run) burst(f *fleet, users *sync.WaitGroup) {
	number := int(burstTimes * (streamsPerSecond + confirmsPerSecond + declinesPerSecond) * burstTime.Seconds())
	r.note("%d users come in %v, each with a body of %d bytes", number, burstTime, maxBodyBytes)
	for i := range number {
		users.Go(func() {
			a := streamAttempt(1000000+i, &pacedBody{left: maxBodyBytes}, maxBodyBytes)
			g := f.gateways[i%len(f.gateways)]
			a.send(g.front)
			r.detail("%s to %s, burst", a, g.name)
			if a.conn != nil {
				_ = a.conn.Close()
			}
		})
		time.Sleep(burstTime / time.Duration(number))
	}
}

// sendKept sends streams one after the other on one connection until stopped or cut. It returns the
// number of the next one.
func sendKept(address string, n int, stop <-chan struct{}, sentOnKept func(*attempt)) int {
	conn, err := net.DialTimeout("tcp4", address, connectTime)
	if err != nil {
		return n
	}
	defer conn.Close()
	for first := n; !stopped(stop); n++ {
		a := streamAttempt(n, strings.NewReader(strings.Repeat("b", 1200)), 1200)
		a.sent = time.Now()
		_ = conn.SetDeadline(a.sent.Add(a.deadline))
		a.err = a.write(conn)
		keep := a.err == nil && a.read(conn)
		if n > first {
			sentOnKept(a)
		}
		if a.err != nil || !keep {
			return n + 1
		}
	}
	return n
}

// judgeEnds applies the rule: processes do not end by themselves three times on two machines or more;
// memory over the limit counts. It also notes what was lost with them.
func judgeEnds(r *run, f *fleet, guards []memoryGuard, kept []*attempt) (bool, error) {
	runs, err := f.runs()
	if err != nil {
		return false, err
	}
	lost, cut := 0, 0
	for _, a := range kept {
		switch {
		case a.status == 0 && strings.Contains(runs, " run "+a.id+" "):
			lost++
		case a.answered.IsZero() && a.status != 0:
			cut++
		}
	}
	machines := 0
	for i, g := range f.gateways {
		if guards[i].err != nil {
			return false, guards[i].err
		}
		r.note("%s: most memory %d MB of %d, %d ends for it", g.name, guards[i].peak, memoryMB, guards[i].ends)
		if guards[i].ends >= maxEnds {
			machines++
		}
	}
	r.note("%d requests on kept connections: %d passed on and closed without an answer, %d cut in the answer", len(kept), lost, cut)
	r.note("machines with %d ends or more: %d", maxEnds, machines)
	return machines < 2, nil
}
