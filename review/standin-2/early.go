//go:build review

package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// earlyServer is an engine that answers before it has read a long body, and reads on later.
type earlyServer struct {
	*server
	readAfter time.Duration // from the head of the request
}

// runEarlyServer is runServer with an HTTP server of its own, since that of net/http reads the body
// before it answers.
func runEarlyServer(args []string) int {
	flags := flag.NewFlagSet("early", flag.ExitOnError)
	s := &earlyServer{server: &server{capacity: 16, zone: "hobart"}}
	flags.StringVar(&s.address, "listen", "", "IP:PORT")
	flags.StringVar(&s.store, "store", "", "IP:PORT of the store")
	flags.StringVar(&s.service, "service", "", "name of the service")
	flags.StringVar(&s.id, "id", "", "ID")
	flags.IntVar(&s.events, "events", 16, "events of a stream")
	flags.DurationVar(&s.eventGap, "gap", 400*time.Millisecond, "time between two events")
	flags.DurationVar(&s.readAfter, "read-after", 0, "time from the head of a request until its body is read")
	logPath := flags.String("log", "", "file for the runs")
	_ = flags.Parse(args) // exits on an error
	var err error
	if s.log, err = os.OpenFile(*logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	lis, err := net.Listen("tcp4", s.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	go s.heartbeats()
	for {
		conn, err := lis.Accept()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitNotRun
		}
		go s.serve(conn)
	}
}

// serve handles the requests of a connection until one can't be read or answered.
func (s *earlyServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 4<<10)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		attempt := request.Header.Get("X-Attempt-Id")
		if want := request.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", attempt)
			return
		}
		s.note("run %s %s %s", attempt, request.Method, request.URL.Path)
		bodyRead := make(chan error, 1)
		go func() {
			time.Sleep(s.readAfter)
			n, err := io.Copy(io.Discard, request.Body)
			s.note("read %s %d of %d bytes, %v", attempt, n, request.ContentLength, err)
			bodyRead <- err
		}()
		if err := s.answer(conn, request, attempt); err != nil {
			s.note("cut %s %v", attempt, err)
			return
		}
		if <-bodyRead != nil {
			return
		}
		s.note("end %s", attempt)
	}
}

// answer writes the events of a stream in chunks.
func (s *earlyServer) answer(conn net.Conn, request *http.Request, attempt string) error {
	first := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", attempt, s.id, attempt)
	for i := first; i <= s.events && err == nil; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, eventData(request.URL.Path, i))
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(s.eventGap)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err
}
