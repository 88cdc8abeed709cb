package capacity

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
)

func streamMeasurements() []measurement {
	sizes := []int{100, 250, 500, 1000}
	return []measurement{
		{name: lineStreamEntry, x: "open streams", y: "bytes", source: "wire.Dialer.Run after Start; the other end is a bare TCP listener", sizes: sizes, sample: sampleEntryStreams},
		{name: lineStreamAgent, x: "open streams", y: "bytes", source: "wire.Server with a waiting Run; the other end is a bare TCP connection", sizes: sizes, sample: sampleAgentStreams},
		{name: lineStreamRoutine, x: "open streams", y: "goroutines", source: "both ends of wire.Dialer.Run", sizes: sizes, sample: sampleGoroutines},
		{name: lineCaller, x: "open streams", y: "bytes", source: "net/http server with a waiting handler; the other end is a bare TCP connection", sizes: sizes, sample: sampleCallers},
		{name: lineChunkCPU, x: "chunks", y: "ns", source: "one Chunk of 120 bytes over a drpc run, both ends", sizes: []int{2000, 4000, 8000, 16_000}, sample: sampleChunks},
	}
}

// startMessage begins a run.
func startMessage() *wirepb.RunUp {
	return &wirepb.RunUp{Body: &wirepb.RunUp_Start{Start: &wirepb.Start{RequestId: "0b8f2a9c-1d7e-4a53-9f60-5b3d1c7e8a21"}}}
}

// bareListener accepts connections and keeps them unread, so that the other
// end's memory alone is seen.
type bareListener struct {
	net.Listener
	mu    sync.Mutex // guards conns
	conns []net.Conn
}

func listenBare() (*bareListener, error) {
	lis, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.Trace(err)
	}
	l := &bareListener{Listener: lis}
	go l.accept()
	return l, nil
}

func (l *bareListener) accept() {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
}

func (l *bareListener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *bareListener) closeAll() {
	l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.Close()
	}
}

// openRuns begins n runs and returns their streams.
func openRuns(ctx context.Context, d *wire.Dialer, addr string, n int) ([]wirepb.DRPCAgent_RunClient, error) {
	streams := make([]wirepb.DRPCAgent_RunClient, 0, n)
	for range n {
		s, err := d.Run(ctx, addr)
		if err == nil {
			err = s.Send(startMessage())
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
		streams = append(streams, s)
	}
	return streams, nil
}

func sampleEntryStreams(ctx context.Context, n int) (float64, error) {
	lis, err := listenBare()
	if err != nil {
		return 0, err
	}
	defer lis.closeAll()
	d := wire.NewDialer(wire.Options{})
	defer d.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	settle()
	before := live()
	streams, err := openRuns(ctx, d, lis.Addr().String(), n)
	if err != nil {
		return 0, err
	}
	if err := await(ctx, func() bool { return lis.count() == n }); err != nil {
		return 0, err
	}
	settle()
	after := live()
	runtime.KeepAlive(streams)
	return after - before, nil
}

// settle waits until goroutines that were just started, or whose connections
// were closed, come to rest or end: their number stays for a while.
func settle() {
	const step, still = 20 * time.Millisecond, 5
	count, same := runtime.NumGoroutine(), 0
	for deadline := time.Now().Add(awaitLimit); same < still && time.Now().Before(deadline); {
		time.Sleep(step)
		same++
		if n := runtime.NumGoroutine(); n != count {
			count, same = n, 0
		}
	}
}

// waitingAgent holds every run until the measurement ends.
type waitingAgent struct {
	wirepb.DRPCAgentUnimplementedServer
	running atomic.Int64
	release chan struct{}
	chunks  int // sent at once, with an end, if not zero
}

func (a *waitingAgent) Run(s wirepb.DRPCAgent_RunStream) error {
	if _, err := s.Recv(); err != nil {
		return err
	}
	a.running.Add(1)
	data := bytes.Repeat([]byte("x"), 120)
	for i := range a.chunks {
		c := &wirepb.Chunk{Sequence: uint64(i), Data: data}
		if err := s.Send(&wirepb.RunDown{Body: &wirepb.RunDown_Chunk{Chunk: c}}); err != nil {
			return err
		}
	}
	if a.chunks == 0 {
		<-a.release
	}
	return s.Send(&wirepb.RunDown{Body: &wirepb.RunDown_End{End: &wirepb.End{Chunks: uint64(a.chunks)}}})
}

// serveWaiting runs a waitingAgent.
func serveWaiting(chunks int) (a *waitingAgent, addr string, stop func(), err error) {
	lis, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, "", nil, errors.Trace(err)
	}
	a = &waitingAgent{release: make(chan struct{}), chunks: chunks}
	ended, err := serve(wire.Services{Agent: a}, lis)
	if err != nil {
		return nil, "", nil, err
	}
	return a, lis.Addr().String(), func() { close(a.release); ended() }, nil
}

// recordStart returns the bytes that a dialer sends to begin a run.
func recordStart(ctx context.Context) ([]byte, error) {
	lis, err := listenBare()
	if err != nil {
		return nil, err
	}
	defer lis.closeAll()
	d := wire.NewDialer(wire.Options{})
	defer d.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if _, err := openRuns(ctx, d, lis.Addr().String(), 1); err != nil {
		return nil, err
	}
	if err := await(ctx, func() bool { return lis.count() == 1 }); err != nil {
		return nil, err
	}
	buf := make([]byte, 4096)
	n, err := lis.conns[0].Read(buf)
	return buf[:n], errors.Trace(err)
}

func sampleAgentStreams(ctx context.Context, n int) (float64, error) {
	first, err := recordStart(ctx)
	if err != nil {
		return 0, err
	}
	a, addr, stop, err := serveWaiting(0)
	if err != nil {
		return 0, err
	}
	defer stop()
	return heldBy(ctx, addr, first, n, func() bool { return a.running.Load() == int64(n) })
}

// heldBy opens n bare connections that each send the same bytes, and returns
// what the server then keeps.
func heldBy(ctx context.Context, addr string, first []byte, n int, ready func() bool) (float64, error) {
	conns := make([]net.Conn, 0, n)
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	settle()
	before := live()
	for range n {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return 0, errors.Trace(err)
		}
		conns = append(conns, c)
		if _, err := c.Write(first); err != nil {
			return 0, errors.Trace(err)
		}
	}
	if err := await(ctx, ready); err != nil {
		return 0, err
	}
	settle()
	return live() - before, nil
}

func sampleGoroutines(ctx context.Context, n int) (float64, error) {
	a, addr, stop, err := serveWaiting(0)
	if err != nil {
		return 0, err
	}
	defer stop()
	d := wire.NewDialer(wire.Options{})
	defer d.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	before := runtime.NumGoroutine()
	if _, err := openRuns(ctx, d, addr, n); err != nil {
		return 0, err
	}
	if err := await(ctx, func() bool { return a.running.Load() == int64(n) }); err != nil {
		return 0, err
	}
	settle()
	return float64(runtime.NumGoroutine() - before), nil
}

func sampleCallers(ctx context.Context, n int) (float64, error) {
	lis, err := net.Listen("tcp", loopback)
	if err != nil {
		return 0, errors.Trace(err)
	}
	var waiting atomic.Int64
	release := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_ = http.NewResponseController(w).Flush()
		waiting.Add(1)
		<-release
	})}
	go func() { _ = server.Serve(lis) }()
	defer server.Close()
	defer close(release)
	first := []byte("POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nContent-Length: 2\r\nContent-Type: application/json\r\n\r\n{}")
	return heldBy(ctx, lis.Addr().String(), first, n, func() bool { return waiting.Load() == int64(n) })
}

func sampleChunks(ctx context.Context, n int) (float64, error) {
	_, addr, stop, err := serveWaiting(n)
	if err != nil {
		return 0, err
	}
	defer stop()
	d := wire.NewDialer(wire.Options{})
	defer d.Close()
	return processCPU(func() error {
		streams, err := openRuns(ctx, d, addr, 1)
		if err != nil {
			return err
		}
		for {
			m, err := streams[0].Recv()
			if err != nil {
				return errors.Trace(err)
			}
			if m.GetEnd() != nil {
				return nil
			}
		}
	})
}
