package wire

import (
	"testing"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// Symptom: an entry sends its news to an address that nobody has, or in another entry's
// name. Sequence: a datagram with a broken word of who its sender is arrives. Cause: it
// is used before it is checked.
func TestOwnWordOfAnEntryIsChecked(t *testing.T) {
	good := func() *wirepb.Peer {
		return &wirepb.Peer{Name: "vm-1", DatagramAddress: "127.0.0.1:7", RpcAddress: "127.0.0.1:8", Zone: "a", Incarnation: 5}
	}
	for name, c := range map[string]struct {
		change func(*wirepb.Peer)
		ok     bool
	}{
		"as sent":                      {func(*wirepb.Peer) {}, true},
		"without an address for reads": {func(p *wirepb.Peer) { p.RpcAddress = "" }, true},
		"without a name":               {func(p *wirepb.Peer) { p.Name = "" }, false},
		"another's incarnation":        {func(p *wirepb.Peer) { p.Incarnation = 6 }, false},
		"no address":                   {func(p *wirepb.Peer) { p.DatagramAddress = "nowhere" }, false},
		"no port for reads":            {func(p *wirepb.Peer) { p.RpcAddress = "127.0.0.1" }, false},
	} {
		p := good()
		c.change(p)
		err := Check(&wirepb.Datagram{Body: &wirepb.Datagram_Work{Work: &wirepb.WorkNews{Owner: 5, Hello: p}}})
		if c.ok != (err == nil) || err != nil && !errors.Is(err, ErrOutOfBounds) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
