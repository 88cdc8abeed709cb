// Package answer derives a stand-in engine's answer from the prompt, so that
// whoever sent the prompt can check the answer without asking the engine.
//
// Rules:
//   - The answer is a pure function of the prompt text and the number of output
//     tokens. Every engine gives the same answer to the same prompt.
//   - Each token's text carries its index and a hash of (prompt, index), so a
//     gap, a doubling, a wrong order and another caller's token all show.
//   - A prompt is hashed in place and never copied.
package answer

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// TokenBytes is the number of bytes of prompt text that make one token.
const TokenBytes = 4

// hashDigits is the number of hexadecimal digits of the hash in a token.
const hashDigits = 8

// Count returns the number of tokens of a prompt: four bytes each, rounded up.
func Count(prompt string) int { return CountBytes(len(prompt)) }

// CountBytes returns the number of tokens of a text of n bytes.
func CountBytes(n int) int { return (n + TokenBytes - 1) / TokenBytes }

// Seed is the hash of a prompt, from which all tokens of its answer follow.
type Seed uint64

// SeedOf hashes a prompt.
func SeedOf(prompt string) Seed { return Seed(xxhash.Sum64String(prompt)) }

// Append appends the text of token i to dst. The text is ASCII, needs no
// escaping in JSON and ends with a space.
func (s Seed) Append(dst []byte, i int) []byte {
	dst = strconv.AppendInt(dst, int64(i), 10)
	dst = append(dst, ':')
	dst = s.appendHash(dst, i)
	return append(dst, ' ')
}

func (s Seed) appendHash(dst []byte, i int) []byte {
	const hex = "0123456789abcdef"
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], uint64(s))
	binary.LittleEndian.PutUint64(buf[8:], uint64(i))
	h := xxhash.Sum64(buf[:])
	for range hashDigits {
		dst = append(dst, hex[h&15])
		h >>= 4
	}
	return dst
}

// Tokens returns the n tokens of the answer to prompt.
func Tokens(prompt string, n int) []string {
	seed := SeedOf(prompt)
	out := make([]string, n)
	for i := range out {
		out[i] = string(seed.Append(nil, i))
	}
	return out
}

// Text returns the whole answer to prompt with n output tokens.
func Text(prompt string, n int) string {
	return string(SeedOf(prompt).AppendRange(nil, 0, n))
}

// AppendRange appends the text of the tokens from to to-1.
func (s Seed) AppendRange(dst []byte, from, to int) []byte {
	for i := from; i < to; i++ {
		dst = s.Append(dst, i)
	}
	return dst
}
