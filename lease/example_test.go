package lease_test

import (
	"context"
	"fmt"
	"time"

	"github.com/briarturn/briarturn/lease"
	"github.com/briarturn/briarturn/objectapi/objectapitest"
)

func Example() {
	ctx := context.Background()
	m := lease.NewManager(lease.Config{
		Store:  objectapitest.NewStore(),
		Holder: "entry-1",
		Term:   100 * time.Millisecond,
	})
	l, err := m.Acquire(ctx, "rollout/briar-pool")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("fence above zero:", l.Fence() > 0)
	if err := l.Release(ctx); err != nil {
		fmt.Println(err)
	}
	fmt.Println("held:", l.Held())
	// Output:
	// fence above zero: true
	// held: false
}
