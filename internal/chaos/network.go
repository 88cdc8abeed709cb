package chaos

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// network says what becomes of datagrams at present. Shares are in percent, the
// delay in milliseconds. Its zero value is a healthy network.
type network struct {
	lose, double, delayMS atomic.Int64
	disturbed             atomic.Int64 // datagrams that a fault met
}

// fault is the wire.DatagramFault of every process.
func (n *network) fault() (copies int, delay time.Duration) {
	copies = 1
	if rand.Int64N(100) < n.lose.Load() {
		n.disturbed.Add(1)
		return 0, 0
	}
	if rand.Int64N(100) < n.double.Load() {
		n.disturbed.Add(1)
		copies = 2
	}
	if most := n.delayMS.Load(); most > 0 {
		n.disturbed.Add(1)
		delay = time.Duration(rand.Int64N(most)) * time.Millisecond
	}
	return copies, delay
}
