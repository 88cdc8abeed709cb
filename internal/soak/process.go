package soak

import (
	"bufio"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// process is one program of the run, started again under the same name. It is safe for
// concurrent use.
type process struct {
	name string
	argv []string
	env  []string
	// line takes each line that it writes; it is called by one goroutine for each start.
	line func(text string)

	mu    sync.Mutex // guards what follows
	cmd   *exec.Cmd
	ended chan struct{} // closed when cmd has ended
	// wanted: an end is meant.
	wanted bool
	// surprises counts the ends that weren't.
	surprises int
}

// start starts the program.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(p.argv[0], p.argv[1:]...)
	cmd.Env = append(os.Environ(), p.env...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return errors.Annotatef(err, "step start, peer %s", p.name)
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return errors.Annotatef(err, "step start, peer %s", p.name)
	}
	p.cmd, p.ended, p.wanted = cmd, make(chan struct{}), false
	go p.follow(cmd, bufio.NewScanner(out), p.ended)
	return nil
}

// follow reads what a started program writes until it ends.
func (p *process) follow(cmd *exec.Cmd, lines *bufio.Scanner, ended chan struct{}) {
	const longest = 1 << 20
	lines.Buffer(nil, longest)
	for lines.Scan() {
		p.line(lines.Text())
	}
	_ = cmd.Wait() // how it ended is told by whether that was meant
	p.mu.Lock()
	if !p.wanted {
		p.surprises++
	}
	p.mu.Unlock()
	close(ended)
}

// signal sends a signal; a program that has ended takes none.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.wanted = true
	}
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it has ended
	}
}

// expectEnd says that the end that follows is meant.
func (p *process) expectEnd() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wanted = true
}

// hasEnded reports whether it has ended and wasn't started since.
func (p *process) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// wait waits for the end and reports whether it came in time.
func (p *process) wait(limit time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends it for good, also one that is stopped.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait(time.Minute)
}

// restart kills and starts it.
func (p *process) restart() error {
	p.kill()
	return p.start()
}

func (p *process) unwantedEnds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.surprises
}

// listening waits until a stand-in has told its address.
type listening struct {
	once  sync.Once
	ready chan struct{}
}

const listeningPrefix = "listening on "

// line takes a line and reports whether it told the address.
func (l *listening) line(text string) bool {
	if !strings.HasPrefix(text, listeningPrefix) {
		return false
	}
	l.once.Do(func() { close(l.ready) })
	return true
}
