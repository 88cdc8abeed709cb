//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"
)

// memoryTokens is the memory of an engine of the site.
const memoryTokens = 232000

// earlyServer is an engine that answers before it has read a long body, and reads on later.
type earlyServer struct {
	*server
	readAfter time.Duration // from the head of the request

	mu      sync.Mutex
	tickets map[string]ticketState // reserved memory
}

// runEarlyServer is runServer with an HTTP server of its own, since that of net/http reads the body
// before it answers.
func runEarlyServer(args []string) int {
	flags := flag.NewFlagSet("early", flag.ExitOnError)
	s := &earlyServer{server: &server{capacity: 16, zone: "hobart"}, tickets: map[string]ticketState{}}
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
		if request.URL.Path == "/order" || request.URL.Path == "/report" {
			if s.control(conn, request) != nil {
				return
			}
			continue
		}
		s.note("run %s %s %s, helpers %s", attempt, request.Method, request.URL.Path, request.Header.Get("X-Helpers"))
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

// ticketState is a reservation in an engine's report.
type ticketState struct {
	ID     string `json:"id"`
	Tokens int    `json:"tokens"`
	State  string `json:"state"`
	AgeMS  int64  `json:"age_ms"`
}

// control answers an order or a question for the state. Memory that is reserved counts as used: the
// prompts here begin at once.
func (s *earlyServer) control(conn net.Conn, request *http.Request) error {
	var order struct {
		Operation string `json:"operation"`
		ID        string `json:"id"`
		Tokens    int    `json:"tokens"`
	}
	if request.Method == http.MethodPost {
		if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
			return err
		}
	}
	_, _ = io.Copy(io.Discard, request.Body)
	s.mu.Lock()
	used := 0
	for _, t := range s.tickets {
		used += t.Tokens
	}
	status := "200 OK"
	switch {
	case order.Operation == "release":
		delete(s.tickets, order.ID)
	case order.Operation == "reserve" && s.tickets[order.ID].Tokens == 0 && used+order.Tokens > memoryTokens:
		status = "409 Conflict"
	case order.Operation == "reserve":
		s.tickets[order.ID] = ticketState{ID: order.ID, Tokens: order.Tokens, State: "used"}
	}
	body, err := json.Marshal(map[string]any{
		"free": memoryTokens - used, "phase": "both", "busy": false, "sequence": 0, "queued": 0, "active": 0, "kv_used": used,
		"kv_total": memoryTokens, "handles": 0, "tickets": slices.Collect(maps.Values(s.tickets)),
	})
	s.mu.Unlock()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	return err
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
