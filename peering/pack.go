package peering

import (
	"slices"

	"github.com/briarturn/briarturn/wire/wirepb"
)

// packNews packs items into messages that each fit a datagram. add puts one item into a message.
func packNews[T any](owner uint64, items []T, maxPerMessage int, add func(*wirepb.WorkNews, T)) []*wirepb.WorkNews {
	var out []*wirepb.WorkNews
	for part := range slices.Chunk(items, maxPerMessage) {
		m := &wirepb.WorkNews{Owner: owner}
		for _, item := range part {
			add(m, item)
		}
		out = append(out, m)
	}
	return out
}
