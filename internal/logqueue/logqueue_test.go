package logqueue

import (
	"bytes"
	"strings"
	"testing"
)

// stuck blocks each write until it is let go.
type stuck struct {
	bytes.Buffer
	release chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// Symptom: requests hang while the log isn't read.
// Sequence: the reader of the log stops; lines go on being written.
// Cause: a write of a log line waited for the reader.
func TestFullQueueDropsAndCounts(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	q := New(out, 2)
	const written = 100
	for range written {
		if n, err := q.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("%d, %v", n, err)
		}
	}
	close(out.release)
	q.Close()
	_, _ = q.Write([]byte("after the end\n"))
	text := out.String()
	kept := strings.Count(text, "line\n")
	if kept == 0 || kept > 4 {
		t.Errorf("%d of %d lines were kept by a queue of 2", kept, written)
	}
	if !strings.Contains(text, `"msg":"log lines dropped"`) || strings.Contains(text, "after the end") {
		t.Errorf("log: %q", text)
	}
}

func TestCloseWritesWhatWaits(t *testing.T) {
	var out bytes.Buffer
	q := New(&out, 10)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = q.Write([]byte(line))
	}
	q.Close()
	if out.String() != "a\nb\nc\n" {
		t.Errorf("log %q", out.String())
	}
}
