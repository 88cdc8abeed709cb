package request_test

import (
	"fmt"

	"github.com/briarturn/briarturn/request"
)

// Chunks arrive out of order, duplicated, and late from an abandoned attempt; the
// caller receives each once and in order.
func ExampleAssembler() {
	answer := request.NewAssembler(request.DefaultAssemblerLimits)
	emit := func(chunk []byte) error {
		fmt.Print(string(chunk))
		return nil
	}
	offer := func(attempt uint32, sequence uint64, data string) {
		if err := answer.Offer(attempt, sequence, []byte(data), emit); err != nil {
			fmt.Println(err)
		}
	}
	answer.StartAttempt(1)
	offer(1, 0, "the ")
	answer.StartAttempt(2) // the first attempt failed; this one resumes at NextSequence
	offer(1, 1, "late ")
	offer(2, 2, "answer")
	offer(2, 1, "whole ")
	offer(2, 1, "whole ")
	fmt.Println()
	fmt.Println(answer.CheckComplete(3), answer.CheckComplete(4))
	// Output:
	// the whole answer
	// <nil> 3 of 4 chunks: answer incomplete
}

// After a broken stream, only an idempotent request is retried.
func ExampleDecideRetry() {
	names := map[request.RetryAction]string{
		request.Fail: "fail", request.Retry: "another attempt", request.Resume: "resume",
	}
	for _, s := range []request.AttemptOutcome{
		{Refused: true},
		{Sent: true},
		{Sent: true, Idempotent: true},
		{Sent: true, Idempotent: true, FirstByte: true},
	} {
		v := request.DecideRetry(s)
		fmt.Println(names[v.Action], v.FailureCode)
	}
	// Output:
	// another attempt not_run
	// fail outcome_unknown
	// another attempt outcome_unknown
	// resume outcome_unknown
}
