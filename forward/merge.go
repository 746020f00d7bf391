package forward

import (
	"bytes"
	"container/heap"
)

// recordBytes is the size of a record. Records are ordered by their bytes.
const recordBytes = 16

// minHeap implements heap.Interface; the smallest record is at the root.
type minHeap [][]byte

func (h minHeap) Len() int           { return len(h) }
func (h minHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h minHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *minHeap) Push(x any)        { *h = append(*h, x.([]byte)) }
func (h *minHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// mergeTop returns the topK greatest records of all responses in descending
// order. Equal records are all kept. A trailing incomplete record of a response
// is ignored.
func mergeTop(responses [][]byte, topK int) []byte {
	records := 0
	for _, body := range responses {
		records += len(body) / recordBytes
	}
	h := make(minHeap, 0, min(topK, records))
	for _, body := range responses {
		for ; len(body) >= recordBytes; body = body[recordBytes:] {
			record := body[:recordBytes:recordBytes]
			switch {
			case len(h) < topK:
				heap.Push(&h, record)
			case bytes.Compare(record, h[0]) > 0:
				h[0] = record
				heap.Fix(&h, 0)
			}
		}
	}
	out := make([]byte, len(h)*recordBytes)
	for i := len(out) - recordBytes; i >= 0; i -= recordBytes {
		copy(out[i:], heap.Pop(&h).([]byte))
	}
	return out
}
