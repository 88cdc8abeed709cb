package capacity

import (
	"context"
	"runtime"
	"sync"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sys/unix"
)

// measurement is how one line is measured.
type measurement struct {
	name   string
	x, y   string // units
	source string // what is measured
	sizes  []int
	sample func(ctx context.Context, n int) (float64, error)
	// together runs all sizes at once, and with them the neighbours that are
	// together too: what is counted are calls over time, and they share nothing
	// but the processor.
	together bool
}

// Measure runs all measurements in this process, in under 40 s. report, if set,
// is told of each line as it is done.
func Measure(ctx context.Context, report func(Line)) (Slopes, error) {
	s := Slopes{Go: runtime.Version(), Notes: notes, Lines: map[string]Line{}}
	for _, part := range groups(measurements()) {
		lines, err := runGroup(ctx, part)
		if err != nil {
			return s, err
		}
		for _, l := range lines {
			s.Lines[l.Name] = l
			if report != nil {
				report(l)
			}
		}
	}
	return s, errors.Trace(s.check())
}

// groups are the measurements in order, neighbours that run together in one.
func groups(all []measurement) [][]measurement {
	var out [][]measurement
	for i, m := range all {
		if i > 0 && m.together && all[i-1].together {
			out[len(out)-1] = append(out[len(out)-1], m)
			continue
		}
		out = append(out, []measurement{m})
	}
	return out
}

func runGroup(ctx context.Context, part []measurement) ([]Line, error) {
	lines := make([]Line, len(part))
	group, ctx := errgroup.WithContext(ctx)
	for i, m := range part {
		group.Go(func() error {
			l, err := m.run(ctx)
			lines[i] = l
			return errors.Annotatef(err, "step measure %s", m.name)
		})
	}
	return lines, group.Wait()
}

// notes say what the figures mean, whatever the machine.
var notes = []string{
	"Memory is live heap and goroutine stacks after a collection; the page adds what the collector lets the heap grow by.",
	"CPU of pure steps is the thread's time, the least of three runs; the collector's own threads are not in it.",
	"CPU of sockets is the whole process's time and so holds both ends of each connection.",
	"Bytes on the wire are encoded messages with headers: 28 a datagram (IPv4, UDP), 52 a TCP segment.",
	"Everything runs in one process over loopback, with the project's stand-ins for platform and service.",
}

func measurements() []measurement {
	var all []measurement
	all = append(all, processMeasurements()...)
	all = append(all, entryMeasurements()...)
	all = append(all, controlMeasurements()...)
	all = append(all, configMeasurements()...)
	all = append(all, agentMeasurements()...)
	all = append(all, streamMeasurements()...)
	all = append(all, nodeMeasurements()...)
	all = append(all, gatewayMeasurements()...)
	return append(all, storeMeasurements()...)
}

func (m measurement) run(ctx context.Context) (Line, error) {
	l := Line{Name: m.name, X: m.x, Y: m.y, Source: m.source, Points: make([]Point, len(m.sizes))}
	group, ctx := errgroup.WithContext(ctx)
	if !m.together {
		group.SetLimit(1)
	}
	for i, n := range m.sizes {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return errors.Trace(err)
			}
			y, err := m.sample(ctx, n)
			l.Points[i] = Point{X: float64(n), Y: y}
			return errors.Annotatef(err, "size %d", n)
		})
	}
	if err := group.Wait(); err != nil {
		return l, err
	}
	return l, l.fit()
}

// live returns the bytes of live heap and of stacks.
func live() float64 {
	runtime.GC()
	runtime.GC() // finalizers of the first may free more
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// retained returns how many bytes what build returns keeps alive.
func retained(build func() any) float64 {
	before := live()
	kept := build()
	after := live()
	runtime.KeepAlive(kept)
	return after - before
}

// repeats of a CPU measurement; the least counts, since others use the machine.
const repeats = 3

// threadCPU returns the least CPU time in ns of f on one thread. prepare, if
// set, runs before each and isn't counted.
func threadCPU(prepare, f func()) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	least := 0.0
	for i := range repeats {
		if prepare != nil {
			prepare()
		}
		began := cpu(unix.CLOCK_THREAD_CPUTIME_ID)
		f()
		if took := cpu(unix.CLOCK_THREAD_CPUTIME_ID) - began; i == 0 || took < least {
			least = took
		}
	}
	return least
}

// processCPU returns the CPU time in ns of the process while f runs.
func processCPU(f func() error) (float64, error) {
	began := cpu(unix.CLOCK_PROCESS_CPUTIME_ID)
	err := f()
	return cpu(unix.CLOCK_PROCESS_CPUTIME_ID) - began, err
}

// cpu reads a clock of CPU time in ns. Both clocks exist on every Linux.
func cpu(clock int32) float64 {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		panic(err)
	}
	return float64(t.Nano())
}

// sampler returns a result of size n.
type sampler[T any] func(ctx context.Context, n int) (T, error)

// shared lets two lines use one run for each size.
func shared[T any](sample sampler[T]) sampler[T] {
	var mu sync.Mutex // guards runs
	runs := map[int]func() (T, error){}
	return func(ctx context.Context, n int) (T, error) {
		mu.Lock()
		run, ok := runs[n]
		if !ok {
			run = sync.OnceValues(func() (T, error) { return sample(ctx, n) })
			runs[n] = run
		}
		mu.Unlock()
		return run()
	}
}

// part makes one line's sample of a shared result.
func part[T any](of sampler[T], get func(T) float64) func(context.Context, int) (float64, error) {
	return func(ctx context.Context, n int) (float64, error) {
		v, err := of(ctx, n)
		return get(v), err
	}
}
