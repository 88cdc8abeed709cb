package node

import (
	"runtime/metrics"

	gometrics "github.com/rcrowley/go-metrics"
)

// processGauges are what the runtime tells of this process, by the name under
// which they are exported.
var processGauges = map[string]string{
	"process.goroutines":  "/sched/goroutines:goroutines",
	"process.heap_bytes":  "/memory/classes/heap/objects:bytes",
	"process.stack_bytes": "/memory/classes/heap/stacks:bytes",
}

// exportProcess adds gauges of the whole process to a registry. Nodes that share
// a process show the same values.
func exportProcess(r gometrics.Registry) {
	for name, source := range processGauges {
		// Fails only if the registry has it already.
		_ = r.Register(name, gometrics.NewFunctionalGauge(func() int64 { return readGauge(source) }))
	}
}

func readGauge(source string) int64 {
	sample := []metrics.Sample{{Name: source}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}
