package soak

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/briarturn/briarturn/platform/standin"
)

const (
	// keptConns is how many connections are kept open to an entry that is told to end.
	keptConns = 16
	// An entry ends in this span after its signal; in it each kept connection is used.
	keptFrom = 3200 * time.Millisecond
	keptTo   = grace
	// keptPause is between the two halves of a request, which are on their way for as long.
	keptPause = 100 * time.Millisecond
)

// keptConn is a connection that a caller opened before its entry was told to end, and uses
// once around the moment of the end. It retries nothing: what an HTTP client would send again
// unseen is seen here.
type keptConn struct {
	net.Conn
	answered chan answer
}

// answer is what was read on a connection.
type answer struct {
	response *http.Response
	err      error
}

// keepConns opens connections to an entry. One that can't be opened is left out: the entry may
// be broken by another fault.
func keepConns(address string) []*keptConn {
	var out []*keptConn
	for range keptConns {
		raw, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		c := &keptConn{Conn: raw, answered: make(chan answer, 1)}
		go c.read()
		out = append(out, c)
	}
	return out
}

// read waits for an answer from the start on, as an HTTP client does: a connection that is
// ended before it is used isn't used any more.
func (c *keptConn) read() {
	response, err := http.ReadResponse(bufio.NewReader(c.Conn), nil)
	c.answered <- answer{response, err}
}

// use sends a call that may run once, unless the connection was ended before, and records how
// the call ended.
func (c *keptConn) use(ask standin.CallerRequest, entry int, r *record) {
	defer c.Close()
	select {
	case <-c.answered:
		return
	default:
	}
	q := request{ID: ask.ID, Path: ask.Path, Key: ask.Key, Entry: entry, Sent: time.Now()}
	q.Outcome, q.Detail = c.send(ask)
	q.Ended = time.Now()
	r.request(q)
}

func (c *keptConn) send(ask standin.CallerRequest) (Outcome, string) {
	request, err := ask.Request(context.Background(), c.RemoteAddr().String())
	if err != nil {
		return Wrong, err.Error()
	}
	var text bytes.Buffer
	if err := request.Write(&text); err != nil {
		return Wrong, err.Error()
	}
	_ = c.SetDeadline(time.Now().Add(ask.Timeout + time.Second)) // fails on a closed connection, as what follows
	first := text.Next(text.Len() / 2)
	_, firstErr := c.Write(first)
	time.Sleep(keptPause)
	_, secondErr := c.Write(text.Bytes()) // fails where the answer came already
	a := <-c.answered
	if a.err != nil {
		return Broken, fmt.Sprintf("%v, sending: %v, %v", a.err, firstErr, secondErr)
	}
	defer a.response.Body.Close()
	return answerOf(ask, a.response)
}

// useKept uses each connection at a moment of its own around the end of an entry that was told
// to end at a time. The breaker waits for all of them.
func (b *breaker) useKept(conns []*keptConn, from time.Time, s Step) {
	random := rand.New(rand.NewPCG(uint64(s.At), uint64(s.Target)))
	for i, c := range conns {
		at := from.Add(keptFrom + time.Duration(random.Int64N(int64(keptTo-keptFrom))))
		ask := standin.CallerRequest{
			ID:      fmt.Sprintf("k%d-%d-%d", s.Target, from.UnixNano(), i),
			Key:     keptKey,
			Path:    standin.PathNonIdempotent,
			Timeout: callPatience,
		}
		b.running.Go(func() {
			time.Sleep(time.Until(at))
			c.use(ask, s.Target, b.fleet.record)
		})
	}
}
