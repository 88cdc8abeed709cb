package retrybudget

import "time"

// slidingCount counts events by the bucket of time in which they fall.
type slidingCount struct {
	counts []int
	newest int64 // highest bucket that was counted
}

func newSlidingCount(span, width time.Duration) *slidingCount {
	return &slidingCount{counts: make([]int, span/width+2)}
}

// add counts n events in a bucket. n may be negative to take back what was counted.
func (c *slidingCount) add(bucket int64, n int) {
	c.advance(bucket)
	if bucket > c.newest-int64(len(c.counts)) {
		c.counts[c.index(bucket)] += n
	}
}

// since returns the number of events in the given bucket and all later ones.
func (c *slidingCount) since(bucket int64) int {
	sum := 0
	for i := max(bucket, c.newest-int64(len(c.counts))+1, 0); i <= c.newest; i++ {
		sum += c.counts[c.index(i)]
	}
	return sum
}

// advance clears the buckets that are reused for later ones.
func (c *slidingCount) advance(bucket int64) {
	for i := max(c.newest+1, bucket-int64(len(c.counts))+1, 0); i <= bucket; i++ {
		c.counts[c.index(i)] = 0
	}
	c.newest = max(c.newest, bucket)
}

func (c *slidingCount) index(bucket int64) int64 { return bucket % int64(len(c.counts)) }
