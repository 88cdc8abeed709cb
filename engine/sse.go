package engine

import (
	"bufio"
	"bytes"
	"io"

	"github.com/juju/errors"
)

// sseBufferBytes is the size of the read buffer of one stream.
const sseBufferBytes = 2048

// sseReader reads the data of server-sent events and skips other fields and
// comments. A line, the data of one event, and what is skipped between two, may have
// at most max bytes.
type sseReader struct {
	r    *bufio.Reader
	max  int
	line []byte
	data []byte
}

func newSSEReader(r io.Reader, max int) *sseReader {
	return &sseReader{r: bufio.NewReaderSize(r, sseBufferBytes), max: max}
}

var (
	dataPrefix = []byte("data:")
	space      = []byte(" ")
)

// next returns the data of the next event that has any. The slice is valid
// until the next call. At the end of the input it returns io.EOF between events
// and io.ErrUnexpectedEOF inside one.
func (s *sseReader) next() ([]byte, error) {
	s.data = s.data[:0]
	found, skipped := false, 0
	for {
		line, err := s.readLine()
		if err != nil {
			if err == io.EOF && (found || len(line) > 0) {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 && found {
			return s.data, nil
		}
		if !bytes.HasPrefix(line, dataPrefix) {
			if skipped += len(line) + 1; skipped > s.max {
				return nil, errors.Annotatef(ErrMalformed, "over %d bytes without data", s.max)
			}
			continue
		}
		if err := s.appendData(bytes.TrimPrefix(line[len(dataPrefix):], space), found); err != nil {
			return nil, err
		}
		found = true
	}
}

func (s *sseReader) appendData(value []byte, notFirst bool) error {
	if len(s.data)+len(value)+1 > s.max {
		return errors.Annotatef(ErrMalformed, "event over %d bytes", s.max)
	}
	if notFirst {
		s.data = append(s.data, '\n')
	}
	s.data = append(s.data, value...)
	return nil
}

// readLine returns a line without its line ending (LF or CRLF).
func (s *sseReader) readLine() ([]byte, error) {
	s.line = s.line[:0]
	for {
		part, err := s.r.ReadSlice('\n')
		if len(s.line)+len(part) > s.max {
			return nil, errors.Annotatef(ErrMalformed, "line over %d bytes", s.max)
		}
		if err == nil && len(s.line) == 0 {
			return trimLineEnd(part), nil
		}
		s.line = append(s.line, part...)
		if err == nil {
			return trimLineEnd(s.line), nil
		}
		if err != bufio.ErrBufferFull {
			return s.line, err
		}
	}
}

func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}
