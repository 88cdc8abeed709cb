package wire

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"storj.io/drpc/drpcwire"

	"github.com/briarturn/briarturn/internal/rawserver"
	"github.com/briarturn/briarturn/wire/wirepb"
)

// Guards against a response of a peer that is read until the memory or the time of the call is used up:
// a frame without end, and a message whose frames have none.
func TestMessagesWithoutEndEndTheCall(t *testing.T) {
	const endless = 8 * MaxMessageBytes // bounds the memory of a test that fails
	frame := drpcwire.Frame{Data: make([]byte, 4096), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage}
	whole := drpcwire.AppendFrame(nil, frame)
	frame.Data = make([]byte, endless)
	begun := drpcwire.AppendFrame(nil, frame)[:endless/2]
	for name, piece := range map[string][]byte{"frame": begun, "message": whole} {
		t.Run(name, func(t *testing.T) {
			address := rawserver.Start(t, func(conn net.Conn, in *bufio.Reader) {
				for sent := 0; sent < endless; sent += len(piece) {
					if _, err := conn.Write(piece); err != nil {
						return
					}
				}
				_, _ = io.Copy(io.Discard, in) // until the caller closes the connection
			})
			d := NewDialer(Options{})
			defer func() { _ = d.Close() }()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			if _, err := d.PullStates(ctx, address, &wirepb.StatesRequest{}); err == nil || ctx.Err() != nil {
				t.Errorf("error %v, %v", err, ctx.Err())
			}
		})
	}
}
