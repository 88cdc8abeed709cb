package wire

import (
	"github.com/cespare/xxhash/v2"

	"github.com/briarturn/briarturn/backend"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// NameKey returns the hash that identifies a backend server or an entry by its
// name in datagrams.
func NameKey(name string) uint64 { return xxhash.Sum64String(name) }

// LoadToProto converts a load sample to its message. Negative counts become 0.
func LoadToProto(l backend.Load) *wirepb.Load {
	return &wirepb.Load{
		Running:        uint32(max(l.Running, 0)),
		Waiting:        uint32(max(l.Waiting, 0)),
		PrefillShort:   uint64(max(l.PrefillShort, 0)),
		PrefillLong:    uint64(max(l.PrefillLong, 0)),
		UsedTokens:     uint64(max(l.Used, 0)),
		HeldTokens:     uint64(max(l.Held, 0)),
		CapacityTokens: uint64(max(l.Capacity, 0)),
		Draining:       l.Draining,
		Sequence:       l.Sequence,
		Incarnation:    l.Incarnation,
	}
}

// LoadFromProto converts a message to a load sample. A nil message gives an
// empty sample. Counts are clamped to the bounds of Check, because messages of
// streams don't pass through Check.
func LoadFromProto(m *wirepb.Load) backend.Load {
	return backend.Load{
		Running:      int32(min(m.GetRunning(), maxRequests)),
		Waiting:      int32(min(m.GetWaiting(), maxRequests)),
		PrefillShort: clampTokens(m.GetPrefillShort()),
		PrefillLong:  clampTokens(m.GetPrefillLong()),
		Used:         clampTokens(m.GetUsedTokens()),
		Held:         clampTokens(m.GetHeldTokens()),
		Capacity:     clampTokens(m.GetCapacityTokens()),
		Draining:     m.GetDraining(),
		Sequence:     m.GetSequence(),
		Incarnation:  m.GetIncarnation(),
	}
}

// clampTokens limits a token count to maxTokens.
func clampTokens(n uint64) int64 { return int64(min(n, maxTokens)) }

// DescriptorToProto converts a descriptor to the message of one incarnation of
// its agent. Negative rates and token counts become 0.
func DescriptorToProto(d backend.Descriptor, incarnation uint64) *wirepb.Descriptor {
	return &wirepb.Descriptor{
		Name:            d.Name,
		RpcAddress:      d.RPCAddress,
		DatagramAddress: d.DatagramAddress,
		EngineAddress:   d.EngineAddress,
		Zone:            d.Zone,
		Region:          d.Region,
		Pool:            d.Pool,
		Service:         d.Service,
		Models:          d.Models,
		Adapters:        d.Adapters,
		Role:            string(d.Role),
		PrefillRate:     uint64(max(d.PrefillRate, 0)),
		DecodeRate:      uint64(max(d.DecodeRate, 0)),
		MemoryTokens:    uint64(max(d.MemoryTokens, 0)),
		Incarnation:     incarnation,
		Weights:         weightsToProto(d.Weights),
		Loading:         d.Loading,
	}
}

func weightsToProto(list []backend.Weights) []*wirepb.Weights {
	var out []*wirepb.Weights
	for _, w := range list {
		out = append(out, &wirepb.Weights{Name: w.Name, Version: w.Version, Adapter: w.Adapter})
	}
	return out
}

func weightsFromProto(list []*wirepb.Weights) []backend.Weights {
	var out []backend.Weights
	for _, w := range list {
		out = append(out, backend.Weights{Name: w.GetName(), Version: w.GetVersion(), Adapter: w.GetAdapter()})
	}
	return out
}

// DescriptorFromProto converts a message to a descriptor. Rates and token counts
// are clamped to maxTokens.
func DescriptorFromProto(m *wirepb.Descriptor) backend.Descriptor {
	return backend.Descriptor{
		Name:            m.GetName(),
		RPCAddress:      m.GetRpcAddress(),
		DatagramAddress: m.GetDatagramAddress(),
		EngineAddress:   m.GetEngineAddress(),
		Zone:            m.GetZone(),
		Region:          m.GetRegion(),
		Pool:            m.GetPool(),
		Service:         m.GetService(),
		Models:          m.GetModels(),
		Adapters:        m.GetAdapters(),
		Role:            backend.Role(m.GetRole()),
		PrefillRate:     clampTokens(m.GetPrefillRate()),
		DecodeRate:      clampTokens(m.GetDecodeRate()),
		MemoryTokens:    clampTokens(m.GetMemoryTokens()),
		Weights:         weightsFromProto(m.GetWeights()),
		Loading:         m.GetLoading(),
	}
}
