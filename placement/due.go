package placement

import "time"

const (
	// firstTokenRampStart and firstTokenRampEnd are the times to the first token, as
	// fractions of the objective, between which the loss rises from none to that of a late
	// answer. The ramp allows for forecast errors of a tenth and more.
	firstTokenRampStart, firstTokenRampEnd = 0.7, 1.05
	// onTimeLatencyCost is the cost, as a fraction of the loss of a late answer, of a time
	// to the first token equal to the objective. It makes earlier first tokens preferable
	// within the objective.
	onTimeLatencyCost = 0.2
	// maxObjectiveRatio caps the time to the first token, in multiples of the objective, up
	// to which this cost grows.
	maxObjectiveRatio = 10
	// deadlineRampStart and deadlineRampEnd are fractions of the cutoff between which the
	// second promise is missed. After the cutoff an answer is of no use to its caller.
	deadlineRampStart, deadlineRampEnd = 0.8, 1.2
	// unmeetableFactor is the forecast, as a multiple of the time left, above which a
	// request counts as impossible to serve in time. Forecasts of long prompts are off by
	// seconds in either direction.
	unmeetableFactor = 1.5
)

// timeBudget is the time that a request has left.
type timeBudget struct {
	objective time.Duration // time until the first token is late; 0 or less if it is late already
	// cutoff is the time until a first token is too late for the answer to be complete by
	// the caller's deadline; zero if unknown.
	cutoff time.Duration
}

// loss returns the loss of a request of the given weight whose first token arrives after
// the given time: its weight past the objective, and its weight again past the cutoff.
//
// Without the cutoff a prompt that is already late gains as much from every further second
// as one that can still be on time. It would then be placed at any cost to other requests,
// although its answer can't arrive in time.
func (d timeBudget) loss(after time.Duration, weight float64) float64 {
	return d.latenessLoss(after, weight) + d.missedDeadlineLoss(after, weight)
}

// latenessLoss returns the loss from missing the objective, plus the cost of latency up to
// it.
func (d timeBudget) latenessLoss(after time.Duration, weight float64) float64 {
	if d.objective <= 0 {
		// The request is late in any case, but earlier is still better for the caller.
		return weight * (1 + onTimeLatencyCost*after.Seconds())
	}
	latencyCost := onTimeLatencyCost * min(float64(after)/float64(d.objective), maxObjectiveRatio)
	return weight * (ramp(after, scale(d.objective, firstTokenRampStart), scale(d.objective, firstTokenRampEnd)) + latencyCost)
}

// missedDeadlineLoss returns the rest of the loss: a late answer keeps one promise until the
// cutoff.
func (d timeBudget) missedDeadlineLoss(after time.Duration, weight float64) float64 {
	if d.cutoff == 0 {
		return 0
	}
	return weight * ramp(after, scale(d.cutoff, deadlineRampStart), scale(d.cutoff, deadlineRampEnd))
}

// kept returns the loss that a first token after the given time avoids, compared with no answer.
func (d timeBudget) kept(after time.Duration, weight float64) float64 {
	return max(promises*weight-d.loss(after, weight), 0)
}
