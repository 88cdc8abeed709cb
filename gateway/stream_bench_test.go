package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkStream is one prompt from its caller's first byte to the last of 36 events, over
// loopback, with a server beside it that writes at once: the path of a request without its
// choice among many servers. Run it with -cpuprofile for the functions that it spends its
// time in.
func BenchmarkStream(b *testing.B) {
	const lastEvent = 35
	w := newWorld(b, events(0, lastEvent, false)).configured()
	client := w.front.Client()
	b.ReportAllocs()
	for b.Loop() {
		r, err := http.NewRequest(http.MethodPost, w.front.URL+"/stream/", strings.NewReader(strings.Repeat("x", 1200)))
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
