package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size in bytes of the prompt text in one block of the
// prefix cache, which is 256 tokens.
const PrefixBlockBytes = 1024

// AppendPrefixHashes appends the rolling hashes of the complete blocks of a
// prompt, at most max of them. Hash i covers the text up to the end of block i.
// Cache events identify blocks by these hashes.
func AppendPrefixHashes(dst []uint64, prompt string, max int) []uint64 {
	var previous uint64
	d := xxhash.New()
	var buf [8]byte
	for ; len(prompt) >= PrefixBlockBytes && max > 0; max-- {
		d.Reset()
		binary.LittleEndian.PutUint64(buf[:], previous)
		_, _ = d.Write(buf[:])
		_, _ = d.WriteString(prompt[:PrefixBlockBytes])
		previous = d.Sum64()
		dst = append(dst, previous)
		prompt = prompt[PrefixBlockBytes:]
	}
	return dst
}
