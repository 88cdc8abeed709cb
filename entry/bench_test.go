package entry

import (
	"strings"
	"testing"

	"github.com/briarturn/briarturn/request"
)

// BenchmarkEntryAlone measures the work of the entry for one request without
// sockets: parsing, admission, queueing, server choice, one attempt over
// net.Pipe and relaying the answer.
func BenchmarkEntryAlone(b *testing.B) {
	t := newTestEntry(b, newFakeFleet(&fakeAgent{script: respondTokens(1)}), Limits{})
	removeCapacityLimits(t.scheduler)
	b.ReportAllocs()
	for b.Loop() {
		chat(t, streamBodyText)
	}
}

// BenchmarkParse measures parsing, fingerprinting and prefix hashing of prompts.
func BenchmarkParse(b *testing.B) {
	for name, size := range map[string]int{"4KB": 4 << 10, "4MB": 4 << 20} {
		body := chatJSON(strings.Repeat("x", size), 8, false)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(body)))
			for b.Loop() {
				parsed, f := parseBody(request.KindChat, body)
				if f != nil {
					b.Fatal(f)
				}
				parsed.fingerprint()
				parsed.prefixHashes()
			}
		})
	}
}
