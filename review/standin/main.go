//go:build review

// Command standin plays the store, the engines and the clients of the cases under review/.
// It starts the processes of the system itself and judges what the clients and the engines
// saw. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases by name: each returns whether the rule held, or an error if the case could not run.
var cases = map[string]func(*run) (bool, error){
	"term": caseTerm,
}

// run is one run of a case.
type run struct {
	dir     string // temporary folder
	trouble bool
	begun   time.Time

	mu     sync.Mutex
	record *os.File
}

// note writes a line with the time since the start into the record.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// errCalm means that a request was not served though there was no disruption.
var errCalm = errors.New("without the disruption, a request was not served")

// sinceBegin returns a time as the record shows it.
func (r *run) sinceBegin(t time.Time) float64 { return t.Sub(r.begun).Seconds() }

// processes are what the case has started and not ended yet.
var processes struct {
	sync.Mutex
	started []*exec.Cmd
	dir     string // temporary folder
}

// start starts a process, which is killed if the case is interrupted.
func start(c *exec.Cmd) error {
	processes.Lock()
	defer processes.Unlock()
	if err := c.Start(); err != nil {
		return err
	}
	processes.started = append(processes.started, c)
	return nil
}

// killOnInterrupt ends all processes if the case itself is told to end.
func killOnInterrupt() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		processes.Lock() // no other process starts
		for _, c := range processes.started {
			_ = c.Process.Kill()
		}
		for _, c := range processes.started {
			_, _ = c.Process.Wait() // fails if the case waits for it, too
		}
		_ = os.RemoveAll(processes.dir)
		os.Exit(exitNotRun)
	}()
}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "engine" {
		if err := serveEngine(os.Args[2], os.Args[3], os.Args[4] == "true"); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
		os.Exit(exitNotRun)
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the root of the repository")
		os.Exit(exitNotRun)
	}
	killOnInterrupt()
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, recordPath string) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	processes.Lock()
	processes.dir = dir
	processes.Unlock()
	r := &run{dir: dir, trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), record: record}
	r.note("case %s, trouble %v", name, r.trouble)
	held, err := cases[name](r)
	switch {
	case err != nil:
		r.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case held:
		r.note("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	r.note("the rule was broken")
	fmt.Println("the rule was broken")
	return exitBroken
}
