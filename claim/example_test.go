package claim_test

import (
	"context"
	"fmt"

	"github.com/briarturn/briarturn/claim"
	standin "github.com/briarturn/briarturn/internal/standin/objectapi"
)

func Example() {
	ctx := context.Background()
	claimer, err := claim.New(claim.Config{
		Store: standin.NewMemory(standin.Config{}),
		Entry: "entry-1",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	key := claim.Key{Workspace: "derwent", IdempotencyKey: "fixture-7-confirm"}
	grant, err := claimer.Claim(ctx, key, claim.Request{ID: "request-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("dispatch:", grant.Fresh)
	answer := claim.Record{Status: 200, Response: []byte("confirmed")}
	if err := claimer.Settle(ctx, grant, claim.Outcome{Kind: claim.OutcomeDone, Record: answer}); err != nil {
		fmt.Println(err)
	}
	resend, err := claimer.Claim(ctx, key, claim.Request{ID: "request-2"})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("dispatch:", resend.Fresh, resend.Prior.State, string(resend.Prior.Record.Response))
	// Output:
	// dispatch: true
	// dispatch: false done confirmed
}

// An issued key is claimed without the store.
func ExampleClaimer_Issue() {
	store := standin.NewMemory(standin.Config{})
	store.SetFaults(standin.Faults{Down: true})
	claimer, err := claim.New(claim.Config{Store: store, Entry: "entry-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	key := claim.Key{Workspace: "derwent", IdempotencyKey: claimer.Issue("derwent")}
	for range 2 {
		grant, err := claimer.Claim(context.Background(), key, claim.Request{})
		fmt.Println("dispatch:", grant.Fresh, grant.Prior.State, err)
	}
	// Output:
	// dispatch: true none <nil>
	// dispatch: false running <nil>
}
