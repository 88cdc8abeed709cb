package slo

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzSnapshot decodes arbitrary data from another process. It must be rejected with an error,
// or merged and reported without a panic.
func FuzzSnapshot(f *testing.F) {
	tr := NewTracker(Config{})
	tr.Record(key("a"), false, time.Second, start)
	good, err := json.Marshal(tr.Snapshot("e", start))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte(`{"series":[{"counts":[{"width_ns":0,"cells":[[18446744073709551615,1,2]]}]}]}`))
	f.Add([]byte(`{"series":[{"latency":null}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s Snapshot
		if json.Unmarshal(data, &s) != nil {
			return
		}
		rep, err := NewReport([]Level{level}, []Snapshot{s, s}, start)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := json.Marshal(rep); err != nil {
			t.Error(err)
		}
		if _, err := json.Marshal(Merge(s)); err != nil {
			t.Error(err)
		}
	})
}
