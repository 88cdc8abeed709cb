package placement

import "time"

const (
	// firstFrom and firstTo bound the time to the first token, as shares of the
	// objective, between which it grows from harmless to late: forecasts are off by a
	// tenth and more.
	firstFrom, firstTo = 0.7, 1.05
	// firstPressure prices time to the first token within the objective.
	firstPressure = 0.2
	// pressureMost bounds that pressure, in objectives: beyond, later is no worse.
	pressureMost = 10
	// endFrom and endTo are the same as firstFrom and firstTo for the end of the caller's
	// time, past which an answer is worth nothing.
	endFrom, endTo = 0.8, 1.2
	// surelyLate is the forecast, as a multiple of what is left, from which on a request
	// counts as one that can't be served: forecasts of long prompts are off by seconds
	// either way.
	surelyLate = 1.5
)

// due is what is left of a request's time.
type due struct {
	objective time.Duration // until its first token is late; not above zero: it is
	// end is until its first token comes too late for an answer in the caller's time;
	// zero: not known.
	end time.Duration
}

// loss is what a first token after so long costs a request of a weight: a part of the
// weight past the objective, and all of it past the end. Without the latter a prompt that
// is late already gains as much by any further second as one that may still be on time, and
// is placed whatever it costs the others, though its answer can't come in time at all.
func (d due) loss(after time.Duration, weight float64) float64 {
	return d.late(after, weight) + d.never(after, weight)
}

// late is the part of the loss that is lost past the objective, and the price of the time
// up to it.
func (d due) late(after time.Duration, weight float64) float64 {
	if d.objective <= 0 {
		// Late in any case: sooner is still better for the caller.
		return weight * LateLoss * (1 + firstPressure*after.Seconds())
	}
	pressure := firstPressure * min(float64(after)/float64(d.objective), pressureMost)
	return weight * LateLoss * (ramp(after, scale(d.objective, firstFrom), scale(d.objective, firstTo)) + pressure)
}

// never is the rest of the loss: a late answer is still worth something until the end.
func (d due) never(after time.Duration, weight float64) float64 {
	if d.end == 0 {
		return 0
	}
	return weight * (1 - LateLoss) * ramp(after, scale(d.end, endFrom), scale(d.end, endTo))
}

// gain is what a first token after so long is worth to a request beside none at all.
func (d due) gain(after time.Duration, weight float64) float64 {
	return max(weight-d.loss(after, weight), 0)
}
