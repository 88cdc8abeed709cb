package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/declared"
	"github.com/briarturn/briarturn/internal/node"
	"github.com/briarturn/briarturn/membership"
	"github.com/briarturn/briarturn/objectapi"
	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/request"
	"github.com/briarturn/briarturn/routing"
	"github.com/briarturn/briarturn/slo"
	"github.com/briarturn/briarturn/wire"
	"github.com/briarturn/briarturn/wire/wirepb"
	"github.com/briarturn/briarturn/workspace"
)

// Sizes that are the same in several measurements.
const (
	pools         = 14
	regionEntries = 86
	regionServers = 2400
	seed          = 1
)

// began is the clock of the pure parts.
var began = time.Unix(1_700_000_000, 0)

func processMeasurements() []measurement {
	return []measurement{
		{name: lineProcess, x: "MB kept", y: "bytes", source: "resident anonymous memory of the running tool, over a kept heap of n MB", sizes: []int{0, 16, 32}, sample: resident("RssAnon")},
		{name: lineProgram, x: "MB kept", y: "bytes", source: "resident file memory of the running tool: text and constants, of its program file", sizes: []int{0, 16, 32}, sample: resident("RssFile")},
	}
}

// resident returns a sample of one kind of resident memory with n MB kept; the
// intercept is the process itself.
func resident(kind string) func(context.Context, int) (float64, error) {
	return func(_ context.Context, n int) (float64, error) {
		kept := make([]byte, n<<20)
		for i := range kept {
			kept[i] = 1
		}
		debug.FreeOSMemory()
		data, err := os.ReadFile("/proc/self/status")
		if err != nil {
			return 0, errors.Trace(err)
		}
		runtime.KeepAlive(kept)
		for line := range strings.Lines(string(data)) {
			var kb float64
			if _, err := fmt.Sscanf(line, kind+": %f kB", &kb); err == nil {
				return kb * 1024, nil
			}
		}
		return 0, errors.Errorf("no %s", kind)
	}
}

func entryMeasurements() []measurement {
	return []measurement{
		{name: lineRowMemory, x: "rows", y: "bytes", source: "backend.Table with membership.Observer, after hellos", sizes: []int{600, 1200, 2400}, sample: sampleRows},
		{name: lineReportCPU, x: "reports", y: "ns", source: "wire.Decode, membership.Observer.Handle, backend.Table.ObserveLoad", sizes: []int{2000, 4000, 8000}, sample: sampleReports},
		{name: lineTickCPU, x: "agents known", y: "ns a tick", source: "membership.Observer.Tick without a digest", sizes: []int{600, 1200, 2400}, sample: sampleTick},
		{name: lineDigestCPU, x: "agents known", y: "ns a digest", source: "membership.Observer: digest made, encoded, decoded and handled", sizes: []int{600, 1200, 2400}, sample: sampleDigest},
		{name: lineUpkeepCPU, x: "rows", y: "ns a second", source: "backend.Table.Sweep once, Rows of all pools twice", sizes: []int{600, 1200, 2400}, sample: sampleUpkeep},
		{name: lineDecisionCPU, x: "rows of a pool", y: "ns a decision", source: "routing.Candidates and the default routing.Policy", sizes: []int{100, 400, 800}, sample: sampleDecision},
		{name: lineWorkspace, x: "workspaces", y: "bytes", source: "workspace.Scheduler with a policy each", sizes: []int{200, 540, 1080}, sample: sampleWorkspaces},
		{name: lineSeries, x: "series", y: "bytes", source: "slo.Tracker, a workspace and class each, 1,000 latencies", sizes: []int{200, 600, 1200}, sample: sampleSeries},
		{name: lineHint, x: "hints", y: "bytes", source: "routing.PrefixIndex", sizes: []int{16_384, 32_768, 65_536}, sample: sampleHints},
		{name: lineEvidence, x: "fingerprints", y: "bytes", source: "quarantine.Book", sizes: []int{1000, 5000, 10_000}, sample: sampleEvidence},
	}
}

func descriptor(i int) backend.Descriptor {
	return backend.Descriptor{
		Name:            fmt.Sprintf("engine-%05d", i),
		RPCAddress:      serverAddress(i, 7000),
		DatagramAddress: serverAddress(i, 7001),
		EngineAddress:   serverAddress(i, 8000),
		Zone:            fmt.Sprintf("zone-%d", i%4),
		Region:          "region-1",
		Pool:            poolName(i),
		Models:          []string{poolName(i)},
		Role:            backend.RoleMixed,
		PrefillRate:     20_000,
		DecodeRate:      2_000,
		MemoryTokens:    1_000_000,
	}
}

func poolName(i int) string { return fmt.Sprintf("pool-%d", i%pools) }

func serverAddress(i, port int) string {
	return fmt.Sprintf("10.1.%d.%d:%d", i/250, 1+i%250, port)
}

func sampleLoad(sequence uint64) backend.Load {
	return backend.Load{
		Running: 9, Waiting: 2, PrefillShort: 20_000, PrefillLong: 200_000,
		Used: 300_000, Held: 100_000, Capacity: 1_000_000, Sequence: sequence,
	}
}

func entryPeer(i int) *wirepb.Peer {
	return &wirepb.Peer{
		Name:            fmt.Sprintf("entry-%d", i),
		RpcAddress:      fmt.Sprintf("10.0.%d.%d:7000", i/250, 1+i%250),
		DatagramAddress: fmt.Sprintf("10.0.%d.%d:7001", i/250, 1+i%250),
		Zone:            "zone-1", Region: "region-1", Incarnation: 1_700_000_000_000,
	}
}

// newObserver knows entries of its region and agents, told by hellos.
func newObserver(self, entries, agents int, period time.Duration) (*membership.Observer, *backend.Table) {
	table := backend.NewTable(backend.TableOptions{})
	o := membership.NewObserver(membership.ObserverConfig{
		Self: entryPeer(self), Table: node.ObservedTable{Table: table}, DigestPeriod: period,
		Rand: rand.New(rand.NewPCG(seed, uint64(self))),
	})
	var peers []*wirepb.Peer
	for i := range entries {
		peers = append(peers, entryPeer(i))
	}
	o.MergePeers(began, peers)
	for i := range agents {
		d := descriptor(i)
		o.Handle(began, netip.MustParseAddrPort(d.DatagramAddress), &wirepb.Datagram{
			Body: &wirepb.Datagram_Hello{Hello: &wirepb.Hello{
				Descriptor_: wire.DescriptorToProto(d, 1), Load: wire.LoadToProto(sampleLoad(1)),
			}},
		})
	}
	return o, table
}

func sampleRows(_ context.Context, n int) (float64, error) {
	return retained(func() any {
		o, t := newObserver(0, regionEntries, n, time.Second)
		return []any{o, t}
	}), nil
}

func reportOf(i int, sequence uint64) *wirepb.Datagram {
	return &wirepb.Datagram{Body: &wirepb.Datagram_Report{Report: &wirepb.Report{
		Key: backend.KeyOf(descriptor(i).Name), Incarnation: 1, PeriodMs: 6000,
		Load: wire.LoadToProto(sampleLoad(sequence)), ConfigVersion: 1 << 20,
	}}}
}

func sampleReports(_ context.Context, n int) (float64, error) {
	const agents = 56
	var from [agents]netip.AddrPort
	for i := range from {
		from[i] = netip.MustParseAddrPort(descriptor(i).DatagramAddress)
	}
	var encoded [][]byte
	for i := range n {
		buf, err := proto.Marshal(reportOf(i%agents, uint64(2+i/agents)))
		if err != nil {
			return 0, errors.Trace(err)
		}
		encoded = append(encoded, buf)
	}
	var o *membership.Observer
	var failed error
	ns := threadCPU(func() { o, _ = newObserver(0, regionEntries, regionServers, time.Second) }, func() {
		for i, buf := range encoded {
			m, err := wire.Decode(buf)
			if err != nil {
				failed = err
				return
			}
			o.Handle(began.Add(time.Duration(i)*time.Millisecond), from[i%agents], m)
		}
	})
	return ns, failed
}

// tickInterval is that of membership.EntryRunner: silence is judged in some ticks only.
const tickInterval = 100 * time.Millisecond

// ticks of one sample.
const ticks = 400

func sampleTick(_ context.Context, n int) (float64, error) {
	o, _ := newObserver(0, regionEntries, n, time.Hour)
	o.Tick(began)
	ns := threadCPU(nil, func() {
		for i := range ticks {
			o.Tick(began.Add(time.Duration(i) * tickInterval))
		}
	})
	return ns / ticks, nil
}

func sampleDigest(_ context.Context, n int) (float64, error) {
	a, _ := newObserver(0, regionEntries, n, time.Millisecond)
	b, _ := newObserver(1, regionEntries, n, time.Millisecond)
	from := netip.MustParseAddrPort(entryPeer(0).DatagramAddress)
	sent, now := 0, began
	var failed error
	ns := threadCPU(func() { sent = 0 }, func() {
		for range ticks {
			now = now.Add(time.Millisecond)
			for _, out := range a.Tick(now).Send {
				buf, err := proto.Marshal(out.Message)
				if err != nil {
					failed = err
					return
				}
				m, err := wire.Decode(buf)
				if err != nil {
					failed = err
					return
				}
				b.Handle(now, from, m)
				sent++
			}
		}
	})
	if sent == 0 {
		return 0, errors.New("no digest sent")
	}
	return ns / float64(sent), failed
}

func sampleUpkeep(_ context.Context, n int) (float64, error) {
	_, table := newObserver(0, regionEntries, n, time.Second)
	const rounds = 20
	ns := threadCPU(nil, func() {
		for range rounds {
			table.Sweep(began)
			for range 2 {
				for _, pool := range table.Pools() {
					table.Rows(pool, nil)
				}
			}
		}
	})
	return ns / rounds, nil
}

func sampleDecision(_ context.Context, n int) (float64, error) {
	_, table := newObserver(0, regionEntries, n*pools, time.Second)
	prefixes := routing.NewPrefixIndex(routing.PrefixLimits{})
	policy, err := routing.New("", routing.Options{Costs: routing.NewCostModel(nil), Prefixes: prefixes})
	if err != nil {
		return 0, errors.Trace(err)
	}
	rnd := rand.New(rand.NewPCG(seed, seed))
	q := &routing.Query{
		Pool: poolName(0), Model: poolName(0), Zone: "zone-1", Region: "region-1",
		PromptTokens: 4000, MaxTokens: 400, Now: began, Deadline: began.Add(time.Minute),
	}
	const decisions = 2000
	chosen := 0
	ns := threadCPU(nil, func() {
		for range decisions {
			rows := routing.Candidates(table, prefixes, q, rnd, nil)
			chosen += len(policy.Choose(q, rows, rnd, 3, nil))
		}
	})
	if chosen == 0 {
		return 0, errors.New("no server chosen")
	}
	return ns / decisions, nil
}

func sampleWorkspaces(_ context.Context, n int) (float64, error) {
	return retained(func() any {
		s := workspace.NewScheduler(workspace.Options{})
		for i := range n {
			name := fmt.Sprintf("workspace-%d", i)
			s.SetPolicy(name, workspace.Policy{Weight: 1, TokensPerSecond: 1e6, BurstTokens: 1e6, Concurrency: 100, RetryRatio: 0.1})
			s.SetCapacity(poolName(0), request.ClassShort, workspace.Capacity{Slots: 8})
			ticket, f := s.Submit(context.Background(), workspace.Item{Workspace: name, Pool: poolName(0), Cost: 1})
			if f == nil {
				ticket.Release(1)
			}
		}
		return s
	}), nil
}

func sampleSeries(_ context.Context, n int) (float64, error) {
	const classes = 6
	return retained(func() any {
		t := slo.NewTracker(slo.Config{})
		for i := range n {
			k := slo.Key{Workspace: fmt.Sprintf("workspace-%d", i/classes), Class: request.Class(i % classes), Objective: "ttft"}
			for j := range 1000 {
				t.Record(k, true, time.Duration(j)*3*time.Millisecond, began.Add(time.Duration(j)*20*time.Second))
			}
		}
		return t
	}), nil
}

func sampleHints(_ context.Context, n int) (float64, error) {
	rnd := rand.New(rand.NewPCG(seed, seed))
	kept := 0
	bytes := retained(func() any {
		x := routing.NewPrefixIndex(routing.PrefixLimits{PerServer: 512, Total: n})
		for i := range 2 * n / 16 {
			prefix := make([]uint64, 16)
			for j := range prefix {
				prefix[j] = rnd.Uint64()
			}
			x.RecordSent(uint64(1+i%regionServers), prefix)
		}
		kept = x.Len()
		return x
	})
	return bytes * float64(n) / float64(kept), nil
}

func sampleEvidence(_ context.Context, n int) (float64, error) {
	return retained(func() any {
		b := quarantine.NewTracker(quarantine.DefaultOptions)
		for i := range n {
			b.RecordDeath(uint64(i), 7, began)
		}
		return b
	}), nil
}

func configMeasurements() []measurement {
	return []measurement{
		{name: lineObject, x: "objects", y: "bytes", source: "declared.Catalog, policies and service levels", sizes: []int{300, 1110, 2220}, sample: sampleObjects},
		{name: lineChangeCPU, x: "objects held", y: "ns a change", source: "declared.Catalog.Events with one change", sizes: []int{300, 1110, 2220}, sample: sampleChange},
		{name: linePullBytes, x: "objects pulled", y: "bytes", source: "wire.Dialer.PullConfig over a connection of its own, both ways, with TCP headers", sizes: []int{0, 8, 16}, sample: samplePull},
		{name: linePullCPU, x: "pulls", y: "ns", source: "wire.Dialer.PullConfig of one object over a kept connection, both ends", sizes: []int{400, 800, 1600}, sample: samplePullCPU},
		{name: linePeersBytes, x: "entries of a region", y: "bytes", source: "wire.Dialer.ListPeers over a connection of its own, both ways, with TCP headers", sizes: []int{8, 43, 86}, sample: samplePeers},
	}
}

func policyObject(i int, version uint64) objectapi.Object {
	data, _ := json.Marshal(map[string]any{
		"weight": 1, "tokens_per_second": 100_000 + i, "burst_tokens": 1_000_000, "concurrency": 200,
		"retry_budget": 0.1, "default_timeout": "1m", "max_timeout": "10m",
	})
	return objectapi.Object{Kind: declared.KindWorkspacePolicy, Name: fmt.Sprintf("workspace-%d", i), Version: version, Data: data}
}

func levelObject(i int, version uint64) objectapi.Object {
	data, _ := json.Marshal(map[string]any{
		"workspace": fmt.Sprintf("workspace-%d", i), "class": "1k-4k", "ttft": "1.7s", "inter_token": "56ms", "objective": 0.95,
		"windows": []map[string]any{{"short": "5m", "long": "1h", "rate": 14.4}},
	})
	return objectapi.Object{Kind: declared.KindServiceLevel, Name: fmt.Sprintf("level-%d", i), Version: version, Data: data}
}

// newCatalog holds n objects, half policies and half service levels.
func newCatalog(n int) *declared.Catalog {
	c := declared.NewCatalog(declared.Config{})
	var policies, levels []objectapi.Object
	for i := range n / 2 {
		policies = append(policies, policyObject(i, uint64(i+1)))
		levels = append(levels, levelObject(i, uint64(i+1)))
	}
	byKind := map[string][]objectapi.Object{
		declared.KindWorkspacePolicy: policies,
		declared.KindServiceLevel:    levels,
	}
	for _, kind := range declared.Kinds() {
		c.Snapshot(kind, objectapi.Listing{Revision: uint64(n), Objects: byKind[kind]})
	}
	return c
}

func countObjects(c *declared.Catalog) int {
	n := 0
	for range c.State().WorkspacePolicies() {
		n++
	}
	for range c.State().ServiceLevels() {
		n++
	}
	return n
}

func sampleObjects(_ context.Context, n int) (float64, error) {
	var c *declared.Catalog
	bytes := retained(func() any { c = newCatalog(n); return c })
	if got := countObjects(c); got != n {
		return 0, errors.Errorf("%d objects of %d in force", got, n)
	}
	return bytes, nil
}

func sampleChange(_ context.Context, n int) (float64, error) {
	c := newCatalog(n)
	const changes = 100
	revision := uint64(n)
	ns := threadCPU(nil, func() {
		for i := range changes {
			revision++
			hearPolicies(c, objectapi.Listing{Revision: revision, Objects: []objectapi.Object{policyObject(i, revision)}})
		}
	})
	if c.Revision() != revision {
		return 0, errors.New("changes not in force")
	}
	return ns / changes, nil
}
