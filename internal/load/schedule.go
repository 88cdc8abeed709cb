package load

import (
	"math/rand/v2"
	"time"

	"github.com/briarturn/briarturn/request"
)

// streamConstant is the second word of the PCG seed; it only has to be fixed.
const streamConstant = 0x9e3779b97f4a7c15

// arrival is one request to send.
type arrival struct {
	index        int
	at           time.Duration // intended send time after the start
	class        *ClassSpec
	workspace    int // index into Mix.Workspaces
	promptTokens int
	outputTokens int
	keyed        bool
}

func (a *arrival) service() bool { return a.class.Kind == KindService }

func (a *arrival) length() request.Class { return request.ClassOf(int64(a.promptTokens)) }

// schedule draws arrivals one after the other.
type schedule struct {
	mix   *Mix
	rate  float64 // arrivals/s
	until time.Duration
	rnd   *rand.Rand
	index int
	at    time.Duration
}

func newSchedule(m *Mix, rate float64, until time.Duration, seed uint64) *schedule {
	return &schedule{
		mix:   m,
		rate:  rate,
		until: until,
		rnd:   rand.New(rand.NewPCG(seed, streamConstant)),
	}
}

// next returns the next arrival, or false once the time is over. It draws the
// same number of values for every arrival: a change of one class's shape then
// leaves the times and lengths of all the others as they were.
func (s *schedule) next() (arrival, bool) {
	gap := s.rnd.ExpFloat64() / s.rate
	class, space := s.rnd.Float64(), s.rnd.Float64()
	prompt, output, key := s.rnd.Float64(), s.rnd.Float64(), s.rnd.Float64()
	s.at += time.Duration(gap * float64(time.Second))
	if s.at >= s.until {
		return arrival{}, false
	}
	c := s.pickClass(class)
	a := arrival{index: s.index, at: s.at, class: c, workspace: s.pickWorkspace(space)}
	s.index++
	a.keyed = key < c.KeyShare || c.Kind == KindService
	if c.Kind != KindService {
		a.promptTokens = c.PromptTokens.at(prompt)
		a.outputTokens = c.OutputTokens.at(output)
	}
	return a, true
}

func (s *schedule) pickClass(u float64) *ClassSpec {
	classes := s.mix.Classes
	i := pick(u, len(classes), func(i int) float64 { return classes[i].Share })
	return &classes[i]
}

func (s *schedule) pickWorkspace(u float64) int {
	spaces := s.mix.Workspaces
	return pick(u, len(spaces), func(i int) float64 { return spaces[i].Weight })
}

// pick returns the index that a uniform u in [0,1) falls on by weight.
func pick(u float64, n int, weight func(int) float64) int {
	var total float64
	for i := range n {
		total += weight(i)
	}
	rest := u * total
	for i := range n {
		rest -= weight(i)
		if rest < 0 {
			return i
		}
	}
	return n - 1
}
