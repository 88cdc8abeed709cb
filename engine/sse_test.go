package engine

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
)

func readEvents(r io.Reader, max int) (events []string, err error) {
	s := newSSEReader(r, max)
	for {
		data, err := s.next()
		if err != nil {
			return events, err
		}
		events = append(events, string(data))
	}
}

func TestSSE(t *testing.T) {
	for _, c := range []struct {
		name, in string
		want     []string
		err      error
	}{
		{"two events", "data: a\n\ndata: b\n\n", []string{"a", "b"}, io.EOF},
		{"lines joined", "data: a\ndata: b\n\n", []string{"a\nb"}, io.EOF},
		{"carriage returns, no space", "data:a\r\n\r\n", []string{"a"}, io.EOF},
		{"comments and other fields", ": ping\n\nevent: x\nid: 1\ndata: a\n\n", []string{"a"}, io.EOF},
		{"cut in an event", "data: a\n\ndata: b\n", []string{"a"}, io.ErrUnexpectedEOF},
		{"cut in a line", "data: a\n\ndat", []string{"a"}, io.ErrUnexpectedEOF},
		{"line too long", "data: " + strings.Repeat("x", 5000) + "\n\n", nil, ErrMalformed},
		{"event too long", strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n", 5) + "\n", nil, ErrMalformed},
		{"comments without end", strings.Repeat(": ping\n\n", 1000), nil, ErrMalformed},
		{"empty lines without end", strings.Repeat("\n", 5000), nil, ErrMalformed},
		{"comments between events", strings.Repeat(strings.Repeat(": ping\n\n", 400)+"data: a\n\n", 3), []string{"a", "a", "a"}, io.EOF},
		{"line over the buffer", "data: " + strings.Repeat("x", 3000) + "\n\n", []string{strings.Repeat("x", 3000)}, io.EOF},
	} {
		got, err := readEvents(strings.NewReader(c.in), 4096)
		if !errors.Is(err, c.err) {
			t.Errorf("%s: %v, want %v", c.name, err, c.err)
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: %s", c.name, diff)
		}
	}
}

// FuzzSSE checks that the events do not depend on how the bytes arrive, and
// that no event exceeds the limit.
func FuzzSSE(f *testing.F) {
	f.Add([]byte("data: {\"a\":1}\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		const bound = 300
		whole, err := readEvents(bytes.NewReader(in), bound)
		pieces, pieceErr := readEvents(iotest.OneByteReader(bytes.NewReader(in)), bound)
		if diff := cmp.Diff(whole, pieces); diff != "" {
			t.Error(diff)
		}
		if (err == io.EOF) != (pieceErr == io.EOF) {
			t.Errorf("%v and %v", err, pieceErr)
		}
		for _, e := range whole {
			if len(e) > bound {
				t.Errorf("event of %d bytes exceeds the limit", len(e))
			}
		}
	})
}
