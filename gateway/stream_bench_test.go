package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkStream measures one prompt from its caller's first byte to the last of 36
// events, over loopback, with a local server that responds at once. This is the path of a
// request without the choice among many servers. Run it with -cpuprofile to see which
// functions take the time.
func BenchmarkStream(b *testing.B) {
	const lastEvent = 35
	gw := newTestGateway(b, streamEvents(0, lastEvent, false)).withSampleConfig()
	client := gw.server.Client()
	b.ReportAllocs()
	for b.Loop() {
		r, err := http.NewRequest(http.MethodPost, gw.server.URL+"/stream/", strings.NewReader(strings.Repeat("x", 1200)))
		if err != nil {
			b.Fatal(err)
		}
		r.Host = "h"
		r.Header.Set(hID, "id-1")
		r.Header.Set(hPrompt, "4960")
		response, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
		_ = response.Body.Close()
	}
}
