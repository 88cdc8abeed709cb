//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// run is one run of a case: its processes, its temporary folder and its record.
type run struct {
	daemon  string
	trouble bool
	dir     string
	began   time.Time

	mu        sync.Mutex // guards what follows
	record    *os.File
	processes []*process
	closed    bool // no process is started any more
	portsHeld []io.Closer
}

// process is a started process.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

func newRun(daemon, recordPath string, trouble bool) (*run, error) {
	if _, err := os.Stat(daemon); err != nil {
		return nil, fmt.Errorf("the deployed program is not built: %w", err)
	}
	daemon, err := filepath.Abs(daemon)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	r := &run{daemon: daemon, trouble: trouble, dir: dir, began: time.Now(), record: record}
	r.note("trouble: %v", trouble)
	return r, nil
}

// note writes a line to the record and to the standard output.
func (r *run) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.record, line)
	fmt.Println(line)
}

// detail writes a line to the record only.
func (r *run) detail(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.record, line)
}

// start starts a process with its output in a file of the temporary folder.
func (r *run) start(name string, env []string, program string, args ...string) (*process, error) {
	out, err := os.Create(filepath.Join(r.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	if err := r.startUnlessClosed(p); err != nil {
		return nil, err
	}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	r.note("started %s, process %d", name, cmd.Process.Pid)
	return p, nil
}

// startUnlessClosed starts a process that close ends. It starts none once the run is closed.
func (r *run) startUnlessClosed(p *process) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return errors.New("the run has ended")
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	r.processes = append(r.processes, p)
	return nil
}

// startOwn starts a stand-in of this program.
func (r *run) startOwn(name string, args ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return r.start(name, nil, self, args...)
}

// signal sends a signal to a process.
func (r *run) signal(p *process, s syscall.Signal) {
	r.note("%v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s) // fails only if it has ended
}

// ended reports whether a process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// close ends all processes and removes the temporary folder.
func (r *run) close() {
	r.mu.Lock()
	r.closed = true
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range processes {
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("kept", r.dir)
	}
	_ = r.record.Close()
}

// endOnSignal ends the run with all its processes when this process is told to end.
func (r *run) endOnSignal(signals <-chan os.Signal) {
	go func() {
		<-signals
		r.note("told to end")
		r.close()
		os.Exit(exitNotRun)
	}()
}

// recordRuns writes to the record what the servers have run.
func (r *run) recordRuns() {
	data, _ := os.ReadFile(filepath.Join(r.dir, runsLogName)) // without it nothing has run
	for line := range strings.Lines(string(data)) {
		r.detail("servers: %s", strings.TrimSpace(line))
	}
}

// freePort returns a free port of 127.0.0.1. It stays reserved until releasePorts. The range is below
// the one from which the kernel takes the ports of outgoing connections.
func (r *run) freePort() (int, error) {
	const first, count = 20000, 12000
	for range 1000 {
		port := first + rand.IntN(count)
		lis, err := net.Listen("tcp4", "127.0.0.1:"+strconv.Itoa(port))
		if err != nil {
			continue
		}
		datagrams, err := net.ListenPacket("udp4", lis.Addr().String())
		if err != nil {
			_ = lis.Close()
			continue
		}
		r.portsHeld = append(r.portsHeld, lis, datagrams)
		return port, nil
	}
	return 0, errors.New("no free port")
}

// releasePorts frees the ports for the processes that are about to bind them.
func (r *run) releasePorts() {
	for _, lis := range r.portsHeld {
		_ = lis.Close()
	}
	r.portsHeld = nil
}

// gateway is a process of the deployed role.
type gateway struct {
	*process
	name, zone, store string
	front, ready      string    // addresses for clients and for the platform's question
	addresses         [5]string // front, ready, datagrams, rpc and admin
	settings          string    // path of its settings file
}

// gatewayOptions are what a case changes of the settings of the small deployment.
type gatewayOptions struct {
	maxFiles int // 0: no limit of its own
}

// newGateway returns a gateway with its settings for the first start of the whole system.
func (r *run) newGateway(name, zone, store string) (*gateway, error) {
	g := &gateway{name: name, zone: zone, store: store, settings: filepath.Join(r.dir, name+".json")}
	for i := range g.addresses {
		port, err := r.freePort()
		if err != nil {
			return nil, err
		}
		g.addresses[i] = "127.0.0.1:" + strconv.Itoa(port)
	}
	g.front, g.ready = g.addresses[0], g.addresses[1]
	return g, g.writeSettings(true)
}

// writeSettings writes the settings of a gateway, as deploy/gateway.json renders them for the site
// dwa-rosters.
func (g *gateway) writeSettings(firstStart bool) error {
	settings := map[string]any{
		"role": "gateway", "name": g.name, "zone": g.zone, "region": "tas",
		"listen": map[string]any{
			"http": g.front, "ready": g.ready, "datagram": g.addresses[2], "rpc": g.addresses[3], "admin": g.addresses[4],
		},
		"platform": map[string]any{"address": "http://" + g.store, "call_timeout": "1s"},
		"gateway": map[string]any{
			"grace": "8s", "link_mbps": 1000, "first_start": firstStart,
			"regions":       map[string]any{"hobart": "tas", "launceston": "tas", "burnie": "tas"},
			"config_within": "2000ms", "drain_within": "2000ms",
			"retry_ratio": 0.2, "retry_slack": 102, "retry_window": "10s",
		},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(g.settings, data, 0o600)
}

// startGateway starts a gateway with the command of the deploy file.
func (r *run) startGateway(g *gateway, o gatewayOptions) error {
	env := []string{"BRIARTURN_BOOT=" + g.settings}
	program, args := r.daemon, []string{"run"}
	if o.maxFiles > 0 {
		script := fmt.Sprintf(`ulimit -n %d && exec "$0" run`, o.maxFiles)
		program, args = "/bin/sh", []string{"-c", script, r.daemon}
	}
	p, err := r.start(g.name, env, program, args...)
	g.process = p
	return err
}

// isReady asks a gateway as the platform does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + g.ready + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// waitFor waits until a condition holds.
func waitFor(limit time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, limit)
}

// call sends a request with a JSON body to a stand-in.
func call(method, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	reply, _ := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d, %s", method, url, response.StatusCode, reply)
	}
	return nil
}

// lastLines returns the end of a process's output.
func (r *run) lastLines(p *process, bytesWanted int) string {
	data, _ := os.ReadFile(filepath.Join(r.dir, p.name+".log"))
	return string(data[max(len(data)-bytesWanted, 0):])
}
