package logqueue

import (
	"bytes"
	"strings"
	"testing"
)

// blockingWriter blocks each write until release is closed.
type blockingWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (s *blockingWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// Guards against requests that hang while nothing reads the log, because the write of a
// log line waits for the reader.
func TestFullQueueDropsAndCounts(t *testing.T) {
	out := &blockingWriter{release: make(chan struct{})}
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
		t.Errorf("a queue of 2 kept %d of %d lines", kept, written)
	}
	if !strings.Contains(text, `"msg":"log lines dropped"`) || strings.Contains(text, "after the end") {
		t.Errorf("log: %q", text)
	}
}

func TestCloseFlushesQueuedLines(t *testing.T) {
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
