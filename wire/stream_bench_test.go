package wire

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"testing"

	"github.com/panjf2000/gnet/v2"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// sendTenChunks responds to a run with ten chunks and an End.
func sendTenChunks(s wirepb.DRPCAgent_RunStream) error {
	if _, err := s.Recv(); err != nil {
		return err
	}
	return sendChunks(s, 10, 64)
}

// holdOpen admits a run and keeps it open until it is cancelled.
func holdOpen(s wirepb.DRPCAgent_RunStream) error {
	if _, err := s.Recv(); err != nil {
		return err
	}
	admit := &wirepb.RunDown{Body: &wirepb.RunDown_Admit{Admit: &wirepb.Admit{}}}
	if err := s.Send(admit); err != nil {
		return err
	}
	_, err := s.Recv()
	return err
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// openIdleStreams opens n streams and waits until each is admitted.
func openIdleStreams(b *testing.B, run openRunFunc, n int) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	for range n {
		s := openRun(b, ctx, run, "idle")
		if _, err := s.Recv(); err != nil {
			b.Fatal(err)
		}
	}
	return cancel
}

// BenchmarkIdleStreams reports the memory and goroutines of one open stream, with
// both ends in this process, for the buffer options of this package and for
// drpc's defaults.
func BenchmarkIdleStreams(b *testing.B) {
	for _, n := range []int{100, 1000, 2000} {
		b.Run(fmt.Sprintf("wire/streams=%d", n), func(b *testing.B) {
			_, addr := serveAgent(b, &fakeAgent{run: holdOpen}, Options{})
			d := newDialer(b, Options{})
			measureIdleStreams(b, n, dialRun(d, addr))
		})
		b.Run(fmt.Sprintf("defaults/streams=%d", n), func(b *testing.B) {
			addr := serveDefaults(b, holdOpen)
			measureIdleStreams(b, n, func(ctx context.Context) (wirepb.DRPCAgent_RunClient, error) {
				return dialDefaults(ctx, addr, drpcmanager.Options{})
			})
		})
	}
}

func measureIdleStreams(b *testing.B, n int, run openRunFunc) {
	for range b.N {
		before, goroutines := memoryInUse(), runtime.NumGoroutine()
		cancel := openIdleStreams(b, run, n)
		b.ReportMetric(float64(memoryInUse()-before)/float64(n), "B/stream")
		b.ReportMetric(float64(runtime.NumGoroutine()-goroutines)/float64(n), "goroutines/stream")
		cancel()
	}
}

// serveDefaults starts a server with drpc's default options and returns its
// address.
func serveDefaults(b *testing.B, run func(wirepb.DRPCAgent_RunStream) error) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go newDefaultServer(b, run).Serve(ctx, lis)
	return lis.Addr().String()
}

func newDefaultServer(b *testing.B, run func(wirepb.DRPCAgent_RunStream) error) *drpcserver.Server {
	mux := drpcmux.New()
	if err := wirepb.DRPCRegisterAgent(mux, &fakeAgent{run: run}); err != nil {
		b.Fatal(err)
	}
	return drpcserver.New(mux)
}

// dialDefaults opens a stream on a new connection, without Dialer.
func dialDefaults(ctx context.Context, addr string, opts drpcmanager.Options) (wirepb.DRPCAgent_RunClient, error) {
	raw, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	conn := drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: opts})
	return wirepb.NewDRPCAgentClient(conn).Run(ctx)
}

// BenchmarkTenChunks measures one run of ten small chunks on a pooled connection.
func BenchmarkTenChunks(b *testing.B) {
	_, addr := serveAgent(b, &fakeAgent{run: sendTenChunks}, Options{})
	d := newDialer(b, Options{})
	b.ReportAllocs()
	for b.Loop() {
		completeRun(b, d, addr, 10)
	}
}

// BenchmarkCancel measures a run that is cancelled after its first message and is
// followed by a run to the same address. With soft cancel the next run reuses the
// connection; without it the connection is closed and the next run dials.
func BenchmarkCancel(b *testing.B) {
	b.Run("soft", func(b *testing.B) {
		_, addr := serveAgent(b, &fakeAgent{run: holdOpen}, Options{})
		d := newDialer(b, Options{})
		benchmarkCancel(b, dialRun(d, addr))
	})
	b.Run("close", func(b *testing.B) {
		addr := serveDefaults(b, holdOpen)
		benchmarkCancel(b, func(ctx context.Context) (wirepb.DRPCAgent_RunClient, error) {
			return dialDefaults(ctx, addr, drpcmanager.Options{})
		})
	})
}

func benchmarkCancel(b *testing.B, run openRunFunc) {
	for b.Loop() {
		ctx, cancel := context.WithCancel(context.Background())
		s := openRun(b, ctx, run, "r")
		if _, err := s.Recv(); err != nil {
			b.Fatal(err)
		}
		cancel()
		<-s.Context().Done()
	}
}

// gnetStreamServer is an experimental stream listener on gnet. The bytes of each
// connection reach drpc through a buffer, because drpc uses blocking reads.
type gnetStreamServer struct {
	gnet.BuiltinEventEngine
	server *drpcserver.Server
	booted chan gnet.Engine
}

// gnetTransport is the transport that drpc uses for one gnet connection.
type gnetTransport struct {
	conn gnet.Conn

	mu       sync.Mutex // guards the fields below
	readable *sync.Cond
	buf      []byte
	closed   bool
}

func (g *gnetStreamServer) OnBoot(e gnet.Engine) gnet.Action {
	g.booted <- e
	return gnet.None
}

func (g *gnetStreamServer) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	tr := &gnetTransport{conn: c}
	tr.readable = sync.NewCond(&tr.mu)
	c.SetContext(tr)
	go g.server.ServeOne(context.Background(), tr)
	return nil, gnet.None
}

func (g *gnetStreamServer) OnTraffic(c gnet.Conn) gnet.Action {
	buf, _ := c.Next(-1)
	tr := c.Context().(*gnetTransport)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.buf = append(tr.buf, buf...) // unbounded, because the event loop can't wait for drpc
	tr.readable.Signal()
	return gnet.None
}

func (g *gnetStreamServer) OnClose(c gnet.Conn, _ error) gnet.Action {
	tr := c.Context().(*gnetTransport)
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.closed = true
	tr.readable.Signal()
	return gnet.None
}

func (t *gnetTransport) Read(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.buf) == 0 {
		if t.closed {
			return 0, io.EOF
		}
		t.readable.Wait()
	}
	n := copy(p, t.buf)
	t.buf = t.buf[n:]
	return n, nil
}

// Write copies p, because gnet sends asynchronously. It doesn't block, so a slow
// reader fills gnet's outbound buffer.
func (t *gnetTransport) Write(p []byte) (int, error) {
	return len(p), t.conn.AsyncWrite(append([]byte(nil), p...), nil)
}

func (t *gnetTransport) Close() error { return t.conn.Close() }

// serveGnet starts a gnetStreamServer and returns its address.
func serveGnet(b *testing.B, run func(wirepb.DRPCAgent_RunStream) error) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	addr := lis.Addr().String()
	lis.Close() // gnet has no call that returns the bound port
	g := &gnetStreamServer{server: newDefaultServer(b, run), booted: make(chan gnet.Engine, 1)}
	go gnet.Run(g, "tcp://"+addr, gnet.WithMulticore(true), gnet.WithLogger(gnetLogger{Options{}.withDefaults().Log}))
	engine := <-g.booted
	b.Cleanup(func() { engine.Stop(context.Background()) })
	return addr
}

// BenchmarkListener compares gnet and net.Listener as the listener for drpc: runs
// of ten chunks, one after the other and in parallel, the memory of idle streams
// and the memory of a stream whose reader has stopped. Both use the same client.
func BenchmarkListener(b *testing.B) {
	listeners := map[string]func(*testing.B, func(wirepb.DRPCAgent_RunStream) error) string{
		"net": serveDefaults, "gnet": serveGnet,
	}
	for name, serve := range listeners {
		b.Run(name+"/tenchunks", func(b *testing.B) {
			addr := serve(b, sendTenChunks)
			d := newDialer(b, Options{})
			for b.Loop() {
				completeRun(b, d, addr, 10)
			}
		})
		b.Run(name+"/parallel", func(b *testing.B) {
			addr := serve(b, sendTenChunks)
			d := newDialer(b, Options{})
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					completeRun(b, d, addr, 10)
				}
			})
		})
		b.Run(name+"/idle=1000", func(b *testing.B) {
			addr := serve(b, holdOpen)
			d := newDialer(b, Options{})
			measureIdleStreams(b, 1000, dialRun(d, addr))
		})
		b.Run(name+"/stoppedreader", func(b *testing.B) {
			benchmarkStoppedReader(b, serve)
		})
	}
}

// benchmarkStoppedReader reports how much of a stream of 64 MiB is sent, and how
// much memory is used, while its reader doesn't read.
func benchmarkStoppedReader(b *testing.B, serve func(*testing.B, func(wirepb.DRPCAgent_RunStream) error) string) {
	const size, total = 64 << 10, 1024
	for range b.N {
		var sent stableCounter
		addr := serve(b, func(s wirepb.DRPCAgent_RunStream) error {
			if _, err := s.Recv(); err != nil {
				return err
			}
			for range total {
				c := &wirepb.Chunk{Data: make([]byte, size)}
				if err := s.Send(&wirepb.RunDown{Body: &wirepb.RunDown_Chunk{Chunk: c}}); err != nil {
					return err
				}
				sent.add(1)
			}
			return nil
		})
		before := memoryInUse()
		ctx, cancel := context.WithCancel(context.Background())
		openRun(b, ctx, dialRun(newDialer(b, Options{}), addr), "r")
		b.ReportMetric(float64(sent.waitStable()*size)/(1<<20), "MiB-sent")
		b.ReportMetric(float64(memoryInUse()-before)/(1<<20), "MiB-held")
		cancel()
	}
}
