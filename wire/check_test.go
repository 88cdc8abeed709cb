package wire

import (
	"slices"
	"strings"
	"testing"

	"github.com/juju/errors"

	"github.com/briarturn/briarturn/quarantine"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Guards against using the peer information of a WorkNews message unchecked. An
// entry would then send its messages to an invalid address, or accept messages
// in the name of another entry.
func TestCheckWorkHello(t *testing.T) {
	good := func() *wirepb.Peer {
		return &wirepb.Peer{Name: "vm-1", DatagramAddress: "127.0.0.1:7", RpcAddress: "127.0.0.1:8", Zone: "a", Incarnation: 5}
	}
	for name, c := range map[string]struct {
		change func(*wirepb.Peer)
		ok     bool
	}{
		"valid peer":                   {func(*wirepb.Peer) {}, true},
		"without an RPC address":       {func(p *wirepb.Peer) { p.RpcAddress = "" }, true},
		"without a name":               {func(p *wirepb.Peer) { p.Name = "" }, false},
		"incarnation of another entry": {func(p *wirepb.Peer) { p.Incarnation = 6 }, false},
		"invalid datagram address":     {func(p *wirepb.Peer) { p.DatagramAddress = "nowhere" }, false},
		"RPC address without a port":   {func(p *wirepb.Peer) { p.RpcAddress = "127.0.0.1" }, false},
	} {
		p := good()
		c.change(p)
		err := Check(&wirepb.Datagram{Body: &wirepb.Datagram_Work{Work: &wirepb.WorkNews{Owner: 5, Hello: p}}})
		if c.ok != (err == nil) || err != nil && !errors.Is(err, ErrOutOfBounds) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against drain notices of a corrupt datagram that exclude servers.
func TestInvalidDrainNoticesAreRejected(t *testing.T) {
	for name, drains := range map[string][]*wirepb.ServerDrain{
		"no server":    {{StartedUnixMs: 1}},
		"start time":   {{Server: 1, StartedUnixMs: 1 << 63}},
		"too many":     slices.Repeat([]*wirepb.ServerDrain{{Server: 1}}, maxDrains+1),
		"":             {{Server: 1, StartedUnixMs: 1}}, // valid
		"second of it": {{Server: 1}, {}},
	} {
		err := Check(&wirepb.Datagram{Body: &wirepb.Datagram_Work{Work: &wirepb.WorkNews{Owner: 5, Drains: drains}}})
		if (err == nil) != (name == "") {
			t.Errorf("%q: %v", name, err)
		}
	}
}

// Guards against reports of a corrupt datagram that hold or refuse parts of prompts.
func TestInvalidPartReportsAreRejected(t *testing.T) {
	scope := &wirepb.PartScope{Service: "s", Model: "m"}
	long := &wirepb.PartScope{Service: strings.Repeat("s", quarantine.MaxScopeNameBytes+1)}
	many := make([]uint64, MaxPartsPerMessage+1)
	for name, w := range map[string]*wirepb.WorkNews{
		"":                     {PartDeaths: []*wirepb.PartDeath{{Scope: scope, Death: 1, Parts: []uint64{1}}}}, // valid
		"no death":             {PartDeaths: []*wirepb.PartDeath{{Scope: scope, Parts: []uint64{1}}}},
		"long run":             {PartDeaths: []*wirepb.PartDeath{{Scope: scope, Death: 1, RanMs: maxMillis + 1}}},
		"old death":            {PartDeaths: []*wirepb.PartDeath{{Scope: scope, Death: 1, AgeMs: maxMillis + 1}}},
		"many parts":           {PartDeaths: []*wirepb.PartDeath{{Scope: scope, Death: 1, Parts: many}}},
		"long service":         {PartDeaths: []*wirepb.PartDeath{{Scope: long, Death: 1}}},
		"old success":          {PartsCleared: []*wirepb.PartsCleared{{Scope: scope, AgeMs: maxMillis + 1}}},
		"many parts cleared":   {PartsCleared: []*wirepb.PartsCleared{{Scope: scope, Parts: many}}},
		"long service cleared": {PartsCleared: []*wirepb.PartsCleared{{Scope: long}}},
	} {
		w.Owner = 5
		err := Check(&wirepb.Datagram{Body: &wirepb.Datagram_Work{Work: w}})
		if (err == nil) != (name == "") {
			t.Errorf("%q: %v", name, err)
		}
	}
}

// Guards against questions and loans of a corrupt datagram that take or give any number of retries.
func TestInvalidRetryLoansAreRejected(t *testing.T) {
	for name, w := range map[string]*wirepb.WorkNews{
		"":                {RetryAsks: []*wirepb.RetryAsk{{Service: "s", Tokens: 4, Seq: 1}}, RetryLoans: []*wirepb.RetryLoan{{To: 1, Service: "s", Tokens: 4, Seq: 1}}}, // valid
		"no service":      {RetryAsks: []*wirepb.RetryAsk{{Tokens: 4, Seq: 1}}},
		"no tokens":       {RetryAsks: []*wirepb.RetryAsk{{Service: "s", Seq: 1}}},
		"many tokens":     {RetryAsks: []*wirepb.RetryAsk{{Service: "s", Tokens: maxRetryTokens + 1, Seq: 1}}},
		"no seq":          {RetryAsks: []*wirepb.RetryAsk{{Service: "s", Tokens: 4}}},
		"loan to nobody":  {RetryLoans: []*wirepb.RetryLoan{{Service: "s", Tokens: 4, Seq: 1}}},
		"loan of nothing": {RetryLoans: []*wirepb.RetryLoan{{To: 1, Service: "s", Seq: 1}}},
		"large loan":      {RetryLoans: []*wirepb.RetryLoan{{To: 1, Service: "s", Tokens: maxRetryTokens + 1, Seq: 1}}},
		"loan of what":    {RetryLoans: []*wirepb.RetryLoan{{To: 1, Tokens: 4, Seq: 1}}},
		"loan for what":   {RetryLoans: []*wirepb.RetryLoan{{To: 1, Service: "s", Tokens: 4}}},
	} {
		w.Owner = 5
		err := Check(&wirepb.Datagram{Body: &wirepb.Datagram_Work{Work: w}})
		if (err == nil) != (name == "") {
			t.Errorf("%q: %v", name, err)
		}
	}
}
