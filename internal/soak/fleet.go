package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/platform"
	"github.com/briarturn/briarturn/platform/standin"
)

const (
	// startLimit bounds the start of everything.
	startLimit = 30 * time.Second
	// serverCapacity is what a server says that it runs at a time.
	serverCapacity = 64
	// lookEvery paces the wait for something.
	lookEvery = 50 * time.Millisecond
)

// zoneNames are the availability zones of a run, each a region of its own. Entries stand in the
// first.
var zoneNames = []string{"zone-1", "zone-2"}

// regions are the regions of the zones.
var regions = map[string]string{"zone-1": "region-1", "zone-2": boundRegion}

// fleet is the processes of a run and the links between them.
type fleet struct {
	dir     string
	ports   *portBlock
	record  *record
	store   *process
	entries []*entryProcess
	servers []*serverProcess
	client  *platform.StoreClient
	storeAt string
	version int
	keys    map[string]string
	traffic traffic
	ended   chan *serverProcess // that crashed and are to be started again

	mu        sync.Mutex      // guards evacuated
	evacuated map[string]bool // zones that operators have evacuated
}

// maxEnded bounds the servers that wait to be started again; each crashes once before that.
const maxEnded = 1024

// entryProcess is an entry with its link to the store.
type entryProcess struct {
	*process
	address string
	toStore *link
}

// serverProcess is a backend server with the link that entries reach it by.
type serverProcess struct {
	*process
	address string // its own, not the link's
	zone    string
	reached *link

	mu        sync.Mutex // guards what is registered
	started   time.Time
	coldUntil time.Time
}

// setStarted records a start under the same name.
func (s *serverProcess) setStarted(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started = at
}

// setCold records until when the server is cold.
func (s *serverProcess) setCold(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = until
}

// registration is the content of the server's object now.
func (s *serverProcess) registration() json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return standin.Registration(s.reached.at, s.zone, serverCapacity, s.started, max(time.Until(s.coldUntil), 0))
}

// startFleet starts the stand-ins, declares the routes and servers, and starts the entries.
func startFleet(ctx context.Context, o Options, r *record) (*fleet, error) {
	f := &fleet{dir: o.Dir, record: r, ended: make(chan *serverProcess, maxEnded), evacuated: map[string]bool{}, keys: map[string]string{"kept": keptKey, "removed": removedKey, "bound": boundKey}}
	var err error
	if f.ports, err = claimPorts(); err != nil {
		return f, err
	}
	if err := f.startStore(o); err != nil {
		return f, err
	}
	for i := range o.Servers {
		if err := f.startServer(ctx, o, i); err != nil {
			return f, err
		}
	}
	if err := f.configure(ctx); err != nil {
		return f, err
	}
	for i := range o.Entries {
		if err := f.startEntry(o, i); err != nil {
			return f, err
		}
	}
	if !f.awaitService(startLimit) {
		return f, errors.Errorf("step start: not every entry serves after %v", startLimit)
	}
	return f, nil
}

// command is one of the program under test, with its lines in a file of the run.
func (f *fleet) command(o Options, name string, line func(string) bool, args ...string) (*process, error) {
	file, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, errors.Annotatef(err, "step log of %s", name)
	}
	return &process{name: name, argv: append(append([]string{}, o.Daemon...), args...), env: o.Env, line: func(text string) {
		if line != nil && line(text) {
			return
		}
		_, _ = fmt.Fprintln(file, text) // a log that can't be kept changes no verdict
	}}, nil
}

// startStandin starts a stand-in and waits until it listens.
func (f *fleet) startStandin(o Options, name string, line func(string) bool, args ...string) (*process, error) {
	up := &listening{ready: make(chan struct{})}
	p, err := f.command(o, name, func(text string) bool { return up.line(text) || line(text) }, args...)
	if err != nil {
		return nil, err
	}
	if err := p.start(); err != nil {
		return nil, err
	}
	select {
	case <-up.ready:
		return p, nil
	case <-time.After(startLimit):
		return p, errors.Errorf("step start, peer %s: silent for %v", name, startLimit)
	}
}

func (f *fleet) startStore(o Options) (err error) {
	if f.storeAt, err = f.ports.next(); err != nil {
		return err
	}
	other := func(string) bool { return false }
	if f.store, err = f.startStandin(o, "store", other, "standin", "platform", "--listen", f.storeAt); err != nil {
		return err
	}
	f.client, err = platform.NewStoreClient(platform.StoreConfig{BaseURL: "http://" + f.storeAt, CallTimeout: 5 * time.Second})
	return err
}

func (f *fleet) startServer(ctx context.Context, o Options, i int) error {
	address, err := f.ports.next()
	if err != nil {
		return err
	}
	name := serverName(i)
	s := &serverProcess{address: address, zone: zoneNames[i%len(zoneNames)], started: time.Now()}
	line := func(text string) bool { return f.arrived(s, text) }
	if s.process, err = f.startStandin(o, name, line, "standin", "backend", "--listen", address, "--instance", name); err != nil {
		return err
	}
	f.servers = append(f.servers, s)
	f.record.server(name, s.zone)
	if s.reached, err = f.newLink(address); err != nil {
		return err
	}
	_, err = f.client.Create(ctx, standin.RegistrationKind, name, s.registration())
	return errors.Annotatef(err, "step register %s", name)
}

// serverName is the name of a server and of its instance.
func serverName(i int) string { return fmt.Sprintf("server-%d", i) }

// arrived takes a line of a server that tells a request, or its own end.
func (f *fleet) arrived(s *serverProcess, text string) bool {
	var a standin.ReceivedRequest
	if !strings.HasPrefix(text, "{") || json.Unmarshal([]byte(text), &a) != nil || a.ID == "" {
		return false
	}
	if a.CrashedOn != "" {
		f.crashed(s, a.CrashedOn)
		return true
	}
	if a.SentWithoutEnd > 0 {
		f.record.sentWithoutEnd(a)
		return true
	}
	f.record.arrival(a, time.Now())
	return true
}

func (f *fleet) startEntry(o Options, i int) error {
	name := fmt.Sprintf("entry-%d", i)
	e := &entryProcess{}
	var err error
	if e.toStore, err = f.newLink(f.storeAt); err != nil {
		return err
	}
	settings, address, err := f.entrySettings(name, e.toStore.at)
	if err != nil {
		return err
	}
	e.address = address
	file := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return errors.Annotatef(err, "step settings of %s", name)
	}
	if e.process, err = f.command(o, name, nil, "run", file); err != nil {
		return err
	}
	f.entries = append(f.entries, e)
	return e.start()
}

// entrySettings is an entry's settings file, and where callers reach it.
func (f *fleet) entrySettings(name, store string) (file []byte, address string, err error) {
	listen := map[string]string{}
	for _, port := range []string{"http", "ready", "rpc", "admin", "datagram"} {
		if listen[port], err = f.ports.next(); err != nil {
			return nil, "", err
		}
	}
	file, err = json.Marshal(map[string]any{
		"role": "gateway", "name": name, "zone": zoneNames[0], "region": regions[zoneNames[0]], "listen": listen,
		"platform": map[string]any{"address": "http://" + store, "call_timeout": "1s"},
		"gateway": map[string]any{
			"grace": grace.String(), "retry_ratio": retryRatio, "retry_slack": retrySlack, "retry_window": retryWindow.String(),
			"regions": regions, "evacuate_within": evacuateLimit.String(),
		},
	})
	return file, listen["http"], err
}

// configure writes the next version of the configuration.
func (f *fleet) configure(ctx context.Context) error {
	f.version++
	err := f.put(ctx, standin.ConfigurationKind, standin.ConfigurationName, f.configuration())
	return errors.Annotatef(err, "step write configuration %d", f.version)
}

// configuration is the configuration of the current version.
func (f *fleet) configuration() json.RawMessage {
	return standin.Configuration(f.version, standin.ConfigurationOptions{
		Keys: f.keys, Regions: map[string][]string{"bound": {boundRegion}}, ColdPerSecond: coldPerSecond,
	})
}

// setEvacuated records whether operators have evacuated a zone.
func (f *fleet) setEvacuated(zone string, evacuated bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuated[zone] = evacuated
}

func (f *fleet) isEvacuated(zone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuated[zone]
}

// awaitService waits until each entry has answered a request whole, and reports whether
// that came in time.
func (f *fleet) awaitService(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for i, e := range f.entries {
		for n := 0; !serves(e.address, fmt.Sprintf("probe-%d-%d-%d", i, n, time.Now().UnixNano())); n++ {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(lookEvery)
		}
	}
	return true
}

// serves reports whether an entry answers one request on a connection of its own.
func serves(address, id string) bool {
	ask := standin.CallerRequest{ID: id, Key: keptKey, Path: standin.PathIdempotent, Timeout: time.Second}
	ctx, cancel := context.WithTimeout(context.Background(), 2*ask.Timeout)
	defer cancel()
	r, err := ask.Request(ctx, address)
	if err != nil {
		return false
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	outcome, _ := answerOf(ask, response)
	return outcome == Whole
}

// newLink starts a proxy on a port of the run.
func (f *fleet) newLink(target string) (*link, error) {
	at, err := f.ports.next()
	if err != nil {
		return nil, err
	}
	return newLink(at, target)
}

// close ends every process that was started, and the links.
func (f *fleet) close() {
	for _, e := range f.entries {
		if e.process != nil {
			e.kill()
		}
		if e.toStore != nil {
			e.toStore.close()
		}
	}
	for _, s := range f.servers {
		s.kill()
		if s.reached != nil {
			s.reached.close()
		}
	}
	if f.store != nil {
		f.store.kill()
	}
	if f.client != nil {
		f.client.Close()
	}
	if f.ports != nil {
		f.ports.release()
	}
}
