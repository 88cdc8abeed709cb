package membership

import (
	"testing"
	"time"

	"github.com/briarturn/briarturn/backend"
)

// A digest row must separate long prefill from short. With a single sum, an
// entry that receives the load of an engine with one long prompt only by digests
// would keep short prompts away, although the engine would serve them at once.
func TestDigestRowSeparatesLongPrefill(t *testing.T) {
	a := &agent{load: backend.Load{PrefillShort: 3_000, PrefillLong: 900_000, Capacity: 400_000, Used: 100_000}}
	row := (&Observer{}).newDigestRow(time.Unix(0, 0), a)
	got := loadFromRow(row, a)
	if got.PrefillShort != 3_000 || got.PrefillLong != 900_000 {
		t.Errorf("short prefill %d, long prefill %d", got.PrefillShort, got.PrefillLong)
	}
	row.PrefillLongK = row.PrefillK + 1 // a faulty peer
	if got := loadFromRow(row, a); got.PrefillShort != 0 || got.PrefillLong != 903_000 {
		t.Errorf("faulty row: short prefill %d, long prefill %d", got.PrefillShort, got.PrefillLong)
	}
}
