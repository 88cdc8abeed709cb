//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// node is one process of the system, started as the deploy file says: `target/briarturnd run`
// in the root of the repository, with the settings that deploy/gateway.json yields.
type node struct {
	name         string
	front, ready string
	command      *exec.Cmd
	exited       chan struct{}
}

// loopback returns an address of 127.0.0.0/8, so that cases don't meet on a port.
func loopback() string { return fmt.Sprintf("127.%d.%d.1", 10+rand.IntN(200), 1+rand.IntN(250)) }

func freePort(network, ip string) int {
	if network == "udp" {
		c, err := net.ListenPacket("udp", ip+":0")
		if err != nil {
			panic(err)
		}
		defer c.Close()
		return c.LocalAddr().(*net.UDPAddr).Port
	}
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// bounds are those of the site dwa-rosters.
var bounds = map[string]any{
	"grace_s": 8, "config_ms": 2000, "drain_ms": 2000, "retry_budget_ratio": 0.2, "budget_slack": 102, "budget_window_s": 10,
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z0-9_.]+)\}\}(.*?)\{\{/[a-z0-9_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)(\|json)?\}\}`)
)

// render fills in a template of settings as DEPLOY.md tells it, for the placeholders that
// deploy/gateway.json uses.
func render(template string, fields map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if _, ok := fields[m[1]]; !ok {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(template, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v, ok := fields[m[1]]
		if !ok {
			panic("no field " + m[1])
		}
		if m[2] != "" {
			data, err := json.Marshal(v)
			if err != nil {
				panic(err)
			}
			return string(data)
		}
		return fmt.Sprint(v)
	})
}

// startNode starts a gateway. dir takes its settings and its log.
func startNode(dir, name, zone, storeAddress string) (*node, error) {
	ip := loopback()
	n := &node{name: name, exited: make(chan struct{})}
	n.front = fmt.Sprintf("%s:%d", ip, freePort("tcp", ip))
	n.ready = fmt.Sprintf("%s:%d", ip, freePort("tcp", ip))
	fields := map[string]any{
		"node": name, "zone": zone, "region": "tas", "ip": ip, "bootstrap": true,
		"listen.front": n.front, "listen.ready": n.ready,
		"port_range.0": freePort("udp", ip), "port_range.1": freePort("tcp", ip),
		"provider.address": storeAddress, "limits.link_mbps": 1000.0,
		"zones": map[string]string{"hobart": "tas", "launceston": "tas", "burnie": "tas"},
	}
	for k, v := range bounds {
		fields["bounds."+k] = v
	}
	template, err := os.ReadFile("deploy/gateway.json")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, []byte(render(string(template), fields)), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	n.command = exec.Command("target/briarturnd", "run")
	n.command.Env = append(os.Environ(), "BRIARTURN_BOOT="+file)
	n.command.Stdout, n.command.Stderr = log, log
	if err := start(n.command); err != nil {
		return nil, err
	}
	go func() {
		_ = n.command.Wait()
		_ = log.Close()
		close(n.exited)
	}()
	return n, nil
}

// awaitReady waits until the node answers GET /ready with 200.
func (n *node) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + n.ready + "/ready")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", n.name, limit)
}

func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// kill ends the process if it still runs.
func (n *node) kill() {
	_ = n.command.Process.Kill()
	<-n.exited
}

func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// logTail returns the last lines of the log of a node, for the record of a case that could
// not run.
func logTail(dir, name string) string {
	data, _ := os.ReadFile(filepath.Join(dir, name+".log"))
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	return strings.Join(lines[max(0, len(lines)-5):], "\n")
}
