package hedge

import (
	"math"
	"time"
)

// The upper bounds of the buckets of a histogram grow by a factor of
// 2^(1/bucketsPerOctave) from lowest to lowest * 2^octaves.
const (
	lowest           = 50 * time.Microsecond
	bucketsPerOctave = 8
	octaves          = 21
	bucketCount      = bucketsPerOctave*octaves + 1
	generations      = 4 // of the sliding window
)

// histogram counts durations in logarithmic buckets over a sliding window of
// several generations.
type histogram struct {
	counts [generations][bucketCount]uint32
	sum    [bucketCount]uint32 // over all generations
	total  uint64
	head   int // index of the current generation
}

func bucketOf(d time.Duration) int {
	if d <= lowest {
		return 0
	}
	i := int(math.Ceil(math.Log2(float64(d)/float64(lowest)) * bucketsPerOctave))
	return min(i, bucketCount-1)
}

// upperBound returns the largest duration that falls into bucket i.
func upperBound(i int) time.Duration {
	return time.Duration(float64(lowest) * math.Exp2(float64(i)/bucketsPerOctave))
}

func (h *histogram) add(d time.Duration) {
	i := bucketOf(d)
	h.counts[h.head][i]++
	h.sum[i]++
	h.total++
}

// rotate starts a new generation and drops the oldest.
func (h *histogram) rotate() {
	h.head = (h.head + 1) % generations
	old := &h.counts[h.head]
	for i, n := range old {
		h.sum[i] -= n
		h.total -= uint64(n)
	}
	*old = [bucketCount]uint32{}
}

// quantile returns the upper bound of the bucket that holds quantile q. It
// returns 0 if the histogram is empty.
func (h *histogram) quantile(q float64) time.Duration {
	if h.total == 0 {
		return 0
	}
	rank := uint64(math.Ceil(q * float64(h.total)))
	var below uint64
	for i, n := range h.sum {
		below += uint64(n)
		if below >= rank && n > 0 {
			return upperBound(i)
		}
	}
	return upperBound(bucketCount - 1)
}
