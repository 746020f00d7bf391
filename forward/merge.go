package forward

import (
	"bytes"
	"container/heap"
)

// recordBytes is the size of a record.
const recordBytes = 16

// smallest is a heap of records with the smallest at its root.
type smallest [][]byte

func (h smallest) Len() int           { return len(h) }
func (h smallest) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h smallest) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *smallest) Push(x any)        { *h = append(*h, x.([]byte)) }
func (h *smallest) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// greatest returns the top greatest records of all parts, in falling order.
// Equal records all count. A remainder shorter than a record is not one.
func greatest(parts [][]byte, top int) []byte {
	h := make(smallest, 0, top)
	for _, part := range parts {
		for ; len(part) >= recordBytes; part = part[recordBytes:] {
			record := part[:recordBytes:recordBytes]
			switch {
			case len(h) < top:
				heap.Push(&h, record)
			case bytes.Compare(record, h[0]) > 0:
				h[0] = record
				heap.Fix(&h, 0)
			}
		}
	}
	out := make([]byte, len(h)*recordBytes)
	for at := len(out) - recordBytes; at >= 0; at -= recordBytes {
		copy(out[at:], heap.Pop(&h).([]byte))
	}
	return out
}
