package wire

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// fakeAgent is an agent service that handles runs with the function run.
type fakeAgent struct {
	wirepb.DRPCAgentUnimplementedServer
	run func(wirepb.DRPCAgent_RunStream) error
}

func (a *fakeAgent) Run(s wirepb.DRPCAgent_RunStream) error { return a.run(s) }

func (a *fakeAgent) Status(context.Context, *wirepb.StatusRequest) (*wirepb.AgentStatus, error) {
	return &wirepb.AgentStatus{ConfigVersion: 7}, nil
}

func (a *fakeAgent) Hold(context.Context, *wirepb.HoldRequest) (*wirepb.HoldResponse, error) {
	return nil, errors.New("ledger broke")
}

// serveAgent starts a server on loopback and returns it with its address.
func serveAgent(t testing.TB, a *fakeAgent, opts Options) (*Server, string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewServer(Services{Agent: a}, opts)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, lis) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return s, lis.Addr().String()
}

// sendChunks sends n chunks of size bytes and an End.
func sendChunks(s wirepb.DRPCAgent_RunStream, n, size int) error {
	data := make([]byte, size)
	for i := range n {
		c := &wirepb.Chunk{Sequence: uint64(i), Data: data}
		if err := s.Send(&wirepb.RunDown{Body: &wirepb.RunDown_Chunk{Chunk: c}}); err != nil {
			return err
		}
	}
	return s.Send(&wirepb.RunDown{Body: &wirepb.RunDown_End{End: &wirepb.End{Chunks: uint64(n)}}})
}

// startMessage returns the first message of a run.
func startMessage(id string) *wirepb.RunUp {
	return &wirepb.RunUp{Body: &wirepb.RunUp_Start{Start: &wirepb.Start{RequestId: id}}}
}

// readToEnd reads a stream up to its End and returns the number of messages
// before it.
func readToEnd(t testing.TB, s wirepb.DRPCAgent_RunClient) int {
	t.Helper()
	n := 0
	for {
		m, err := s.Recv()
		if err != nil {
			t.Fatalf("after %d chunks: %v", n, err)
		}
		if m.GetEnd() != nil {
			return n
		}
		n++
	}
}

func newDialer(t testing.TB, opts Options) *Dialer {
	d := NewDialer(opts)
	t.Cleanup(func() { d.Close() })
	return d
}

// openRunFunc opens the stream of a run.
type openRunFunc func(context.Context) (wirepb.DRPCAgent_RunClient, error)

func dialRun(d *Dialer, addr string) openRunFunc {
	return func(ctx context.Context) (wirepb.DRPCAgent_RunClient, error) { return d.Run(ctx, addr) }
}

// openRun opens a stream and sends its first message.
func openRun(t testing.TB, ctx context.Context, run openRunFunc, id string) wirepb.DRPCAgent_RunClient {
	t.Helper()
	s, err := run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Send(startMessage(id)); err != nil {
		t.Fatal(err)
	}
	return s
}

// completeRun opens a run, reads it to its end and checks that it has n chunks.
func completeRun(t testing.TB, d *Dialer, addr string, n int) {
	t.Helper()
	s := openRun(t, context.Background(), dialRun(d, addr), "r")
	if got := readToEnd(t, s); got != n {
		t.Fatalf("%d chunks, want %d", got, n)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	<-s.Context().Done()
}

func TestStreamsReuseOneConnection(t *testing.T) {
	agent := &fakeAgent{run: func(s wirepb.DRPCAgent_RunStream) error {
		if _, err := s.Recv(); err != nil {
			return err
		}
		return sendChunks(s, 10, 64)
	}}
	reg := metrics.NewRegistry()
	_, addr := serveAgent(t, agent, Options{Metrics: reg})
	d := newDialer(t, Options{Metrics: reg})
	for range 20 {
		completeRun(t, d, addr, 10)
	}
	if st, err := d.Status(context.Background(), addr); err != nil || st.ConfigVersion != 7 {
		t.Fatalf("status %v, %v", st, err)
	}
	if n := metrics.GetOrRegisterCounter("wire.dialer.dials", reg).Count(); n != 1 {
		t.Errorf("%d dials for 21 calls in a row, want 1", n)
	}
	if n := metrics.GetOrRegisterCounter("wire.server.connections", reg).Count(); n != 1 {
		t.Errorf("%d open connections, want 1", n)
	}
}

// Guards against a failed dial that is treated like a call that was sent: after
// an agent's process dies, an entry that dials its address would report the
// outcome of the request as unknown.
func TestDialErrorIsErrNotSent(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := lis.Addr().String()
	lis.Close()
	d := newDialer(t, Options{})
	_, runErr := d.Run(context.Background(), addr)
	_, holdErr := d.Hold(context.Background(), addr, &wirepb.HoldRequest{})
	for _, err := range []error{runErr, holdErr} {
		if !errors.Is(err, ErrNotSent) {
			t.Errorf("got error %v, want ErrNotSent", err)
		}
		if !strings.Contains(err.Error(), addr) {
			t.Errorf("error %v doesn't contain the address of the peer", err)
		}
	}
}

// Guards against treating every error of a call as a failed dial: when the
// agent's handler fails after it was called, a hold that the agent may have
// granted would be taken as never sent, and its memory would stay reserved.
func TestHandlerErrorIsNotErrNotSent(t *testing.T) {
	_, addr := serveAgent(t, &fakeAgent{}, Options{})
	_, err := newDialer(t, Options{}).Hold(context.Background(), addr, &wirepb.HoldRequest{})
	if err == nil || errors.Is(err, ErrNotSent) || !strings.Contains(err.Error(), "ledger broke") {
		t.Fatalf("got error %v, want the handler's error", err)
	}
}

// Guards against a stream without flow control: when a caller stops reading, the
// entry stops receiving while the agent keeps sending chunks, and the unread
// chunks would be queued until the processes run out of memory.
func TestStoppedReaderBlocksSender(t *testing.T) {
	const size, total = 64 << 10, 4096 // 256 MiB in total
	var sent stableCounter
	agent := &fakeAgent{run: func(s wirepb.DRPCAgent_RunStream) error {
		data := make([]byte, size)
		for range total {
			c := &wirepb.Chunk{Data: data}
			if err := s.Send(&wirepb.RunDown{Body: &wirepb.RunDown_Chunk{Chunk: c}}); err != nil {
				return err
			}
			sent.add(1)
		}
		return nil
	}}
	_, addr := serveAgent(t, agent, Options{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := openRun(t, ctx, dialRun(newDialer(t, Options{}), addr), "r")
	stalled := sent.waitStable()
	if stalled >= total/2 {
		t.Fatalf("%d of %d chunks were sent without a reader", stalled, total)
	}
	for range total {
		if _, err := s.Recv(); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a cancel that waits behind unread chunks and never reaches the
// agent: the caller disconnects while the agent is blocked in a Send, the entry
// cancels the stream, and the engine would continue to generate.
func TestCancelUnblocksSender(t *testing.T) {
	returned := make(chan struct{})
	agent := &fakeAgent{run: func(s wirepb.DRPCAgent_RunStream) error {
		defer close(returned)
		if _, err := s.Recv(); err != nil {
			return err
		}
		for {
			c := &wirepb.Chunk{Data: make([]byte, 64<<10)}
			if err := s.Send(&wirepb.RunDown{Body: &wirepb.RunDown_Chunk{Chunk: c}}); err != nil {
				return err
			}
		}
	}}
	_, addr := serveAgent(t, agent, Options{})
	ctx, cancel := context.WithCancel(context.Background())
	s := openRun(t, ctx, dialRun(newDialer(t, Options{}), addr), "r")
	if _, err := s.Recv(); err != nil {
		t.Fatal(err)
	}
	cancel()
	<-returned
}

// Guards against messages of a cancelled stream that reach the next stream: a
// stream is cancelled while messages are in flight, and the next run, which uses
// the same connection, would receive chunks of another request.
func TestReusedConnectionHasNoStaleMessages(t *testing.T) {
	agent := &fakeAgent{run: func(s wirepb.DRPCAgent_RunStream) error {
		up, err := s.Recv()
		if err != nil {
			return err
		}
		if up.GetStart().RequestId == "r" {
			return sendChunks(s, 10, 64)
		}
		for { // sends until the stream is cancelled
			if err := s.Send(&wirepb.RunDown{Body: &wirepb.RunDown_Head{Head: &wirepb.Head{}}}); err != nil {
				return err
			}
		}
	}}
	_, addr := serveAgent(t, agent, Options{})
	d := newDialer(t, Options{})
	for range 20 {
		ctx, cancel := context.WithCancel(context.Background())
		s := openRun(t, ctx, dialRun(d, addr), "endless")
		if _, err := s.Recv(); err != nil {
			t.Fatal(err)
		}
		cancel()
		<-s.Context().Done()
		completeRun(t, d, addr, 10)
	}
}

// Guards against a shutdown that closes connections with an open stream: an agent
// that receives SIGTERM during a run would truncate the response, as in a rolling
// replacement of agents.
func TestShutdownWaitsForStreams(t *testing.T) {
	started, resume := make(chan struct{}), make(chan struct{})
	agent := &fakeAgent{run: func(s wirepb.DRPCAgent_RunStream) error {
		if _, err := s.Recv(); err != nil {
			return err
		}
		close(started)
		<-resume
		return sendChunks(s, 100, 1024)
	}}
	server, addr := serveAgent(t, agent, Options{})
	d := newDialer(t, Options{})
	s := openRun(t, context.Background(), dialRun(d, addr), "r")
	<-started
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	if err := server.Shutdown(canceled); err == nil {
		t.Fatal("Shutdown returned nil while a stream was open")
	}
	if _, err := newDialer(t, Options{}).Run(context.Background(), addr); !errors.Is(err, ErrNotSent) {
		t.Fatalf("got error %v from a new connection to a stopping server, want ErrNotSent", err)
	}
	close(resume)
	if got := readToEnd(t, s); got != 100 {
		t.Fatalf("%d chunks, want 100", got)
	}
	if err := server.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// Guards against a receiver that buffers a message of any size: a peer could fill
// its memory with a single message longer than MaxMessageBytes.
func TestOversizedMessageIsRejected(t *testing.T) {
	got := make(chan error, 1)
	agent := &fakeAgent{run: func(s wirepb.DRPCAgent_RunStream) error {
		_, err := s.Recv()
		got <- err
		return err
	}}
	_, addr := serveAgent(t, agent, Options{})
	s, err := newDialer(t, Options{}).Run(context.Background(), addr)
	if err != nil {
		t.Fatal(err)
	}
	part := &wirepb.BodyPart{Data: make([]byte, MaxMessageBytes+1)}
	_ = s.Send(&wirepb.RunUp{Body: &wirepb.RunUp_Part{Part: part}})
	if err := <-got; err == nil {
		t.Fatal("an oversized message was accepted")
	}
}

// Guards against a server that never closes connections without a stream: entries
// that are replaced leave idle connections, and a long-lived agent would run out
// of file descriptors.
func TestIdleConnectionIsClosed(t *testing.T) {
	_, addr := serveAgent(t, &fakeAgent{}, Options{IdleTimeout: 50 * time.Millisecond})
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Fatal("received data on an idle connection, want it closed")
	}
}
