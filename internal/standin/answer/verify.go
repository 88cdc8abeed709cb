package answer

import (
	"fmt"
	"strconv"
	"strings"
)

// Kind names what is wrong with an answer.
type Kind string

// Kinds of fault.
const (
	Cut       Kind = "cut"       // tokens are missing
	Doubled   Kind = "doubled"   // a token stands twice, or there are too many
	Crossed   Kind = "crossed"   // a token belongs to another prompt
	Reordered Kind = "reordered" // all tokens are there, in another order
)

// Fault is the error of Verify.
type Fault struct {
	Kind Kind
	At   int // index of the first token, as received, that is wrong
	Want int // tokens expected
	Got  int // tokens received
}

// Error implements error.
func (f *Fault) Error() string {
	return fmt.Sprintf("answer %s at token %d: got %d of %d tokens", f.Kind, f.At, f.Got, f.Want)
}

// Verify returns nil if got is the answer to prompt with n output tokens, and
// otherwise a *Fault with the gravest kind found: crossed before doubled before
// cut before reordered.
func Verify(prompt string, n int, got string) error {
	v := verifier{seed: SeedOf(prompt), want: n, seen: make([]bool, n), first: -1}
	return v.run(got)
}

type verifier struct {
	seed    Seed
	want    int
	seen    []bool
	first   int // first position that deviates; -1 if none
	crossed bool
	doubled bool
	unique  int
	buf     []byte
}

func (v *verifier) run(got string) error {
	pos := 0
	rest := got
	for rest != "" {
		token, tail, whole := strings.Cut(rest, " ")
		if !whole {
			v.partial(token, pos)
			break
		}
		v.token(token, pos)
		rest = tail
		pos++
	}
	return v.verdict(pos)
}

// partial judges a last token without its closing space: an answer that was cut
// inside a token still has to be the beginning of the right one.
func (v *verifier) partial(token string, pos int) {
	v.deviate(pos)
	want := string(v.seed.Append(nil, pos))
	if !strings.HasPrefix(want, token) {
		v.crossed = true
	}
}

func (v *verifier) token(token string, pos int) {
	index, hash, ok := strings.Cut(token, ":")
	i, err := strconv.Atoi(index)
	if !ok || err != nil || i < 0 || !v.matches(hash, i) {
		v.crossed = true
		v.deviate(pos)
		return
	}
	if i != pos {
		v.deviate(pos)
	}
	if i >= v.want || v.seen[i] {
		v.doubled = true
		v.deviate(pos)
		return
	}
	v.seen[i] = true
	v.unique++
}

func (v *verifier) matches(hash string, i int) bool {
	v.buf = v.seed.appendHash(v.buf[:0], i)
	return hash == string(v.buf)
}

func (v *verifier) deviate(pos int) {
	if v.first < 0 {
		v.first = pos
	}
}

func (v *verifier) verdict(got int) error {
	if v.unique < v.want {
		v.deviate(got)
	}
	if v.first < 0 {
		return nil
	}
	f := &Fault{Kind: Reordered, At: v.first, Want: v.want, Got: got}
	switch {
	case v.crossed:
		f.Kind = Crossed
	case v.doubled:
		f.Kind = Doubled
	case v.unique < v.want:
		f.Kind = Cut
	}
	return f
}
