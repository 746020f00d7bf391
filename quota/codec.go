package quota

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// MaxDatagram bounds the size of an encoded batch, so that it fits into one frame of usual
// networks with the message around it.
const MaxDatagram = 1200

// Limits of what is decoded.
const (
	maxNameBytes = 255
	maxSize      = 1 << 20
	// MaxBatch bounds the size of a batch that is decoded.
	MaxBatch = 8 << 10
	// maxAsk bounds the number of requests of one question.
	maxAsk = 1 << 16
	// maxHold bounds the time for which an answer may hold back questions.
	maxHold = 5 * time.Second
)

// formatVersion is the first byte of a batch. Batches of other versions are ignored.
const formatVersion = 1

// Header tells who sent a batch.
type Header struct {
	Name string
	// Incarnation distinguishes the starts of a process.
	Incarnation uint64
	// Young is true if the process has run for less than a window, so that the use that it
	// reports may not be all.
	Young bool
	// Size is the number of processes that the sender knows of; zero if it may not know all.
	Size uint64
}

// kind tells what an entry of a batch is.
type kind byte

const (
	kindReport kind = iota + 1
	kindAnswer
	kindMode
	kindPing
	kindPong
	// kindCopy is a report that needs no answer.
	kindCopy
)

// report tells a coordinator what a process has admitted, and asks for more.
type report struct {
	id ID
	// serial orders the reports of a process about an organisation.
	serial uint64
	// total is the number of requests that the process has admitted since its start, without
	// those given back; window is that of the last window.
	total, window uint64
	// settled is the number of the last question that the process no longer waits for; what was
	// granted to it and used is part of total.
	settled uint64
	// ask is the number of the question, and n that of the requests that wait for the answer;
	// zero if there is none.
	ask, n uint64
}

// answer is the reply of a coordinator to a report.
type answer struct {
	id ID
	// total is that of the report.
	total   uint64
	limited bool
	// allowance is the number of requests that the process may admit before the next answer.
	allowance uint64
	ask       uint64
	granted   uint64
	// hold is how long further questions have no prospect; zero if the answer grants all.
	hold time.Duration
}

// mode tells a process the mode of an organisation.
type mode struct {
	id      ID
	limited bool
}

// entry is one entry of a batch.
type entry struct {
	kind   kind
	report report
	answer answer
	mode   mode
	ping   uint64
}

// appendHeader begins a batch.
func appendHeader(buf []byte, h *Header) []byte {
	flags := byte(0)
	if h.Young {
		flags = 1
	}
	name := h.Name[:min(len(h.Name), maxNameBytes)]
	buf = append(buf, formatVersion, flags, byte(len(name)))
	buf = append(buf, name...)
	return binary.AppendUvarint(binary.BigEndian.AppendUint64(buf, h.Incarnation), h.Size)
}

func appendEntry(buf []byte, e *entry) []byte {
	buf = append(buf, byte(e.kind))
	switch e.kind {
	case kindReport, kindCopy:
		r := &e.report
		buf = binary.BigEndian.AppendUint64(buf, uint64(r.id))
		for _, x := range []uint64{r.serial, r.total, r.window, r.settled, r.ask, r.n} {
			buf = binary.AppendUvarint(buf, x)
		}
	case kindAnswer:
		a := &e.answer
		buf = binary.BigEndian.AppendUint64(buf, uint64(a.id))
		buf = append(buf, flag(a.limited))
		for _, x := range []uint64{a.total, a.allowance, a.ask, a.granted, uint64(a.hold / time.Millisecond)} {
			buf = binary.AppendUvarint(buf, x)
		}
	case kindMode:
		buf = binary.BigEndian.AppendUint64(buf, uint64(e.mode.id))
		buf = append(buf, flag(e.mode.limited))
	case kindPing, kindPong:
		buf = binary.AppendUvarint(buf, e.ping)
	}
	return buf
}

func flag(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// decoder reads a batch. After the end of the data, all values are zero and failed is true.
type decoder struct {
	data   []byte
	failed bool
}

func (d *decoder) take(n int) []byte {
	if len(d.data) < n {
		d.failed, d.data = true, nil
		return make([]byte, n)
	}
	out := d.data[:n]
	d.data = d.data[n:]
	return out
}

func (d *decoder) byte() byte { return d.take(1)[0] }

func (d *decoder) uint64() uint64 { return binary.BigEndian.Uint64(d.take(8)) }

func (d *decoder) uvarint() uint64 {
	x, n := binary.Uvarint(d.data)
	if n <= 0 {
		d.failed, d.data = true, nil
		return 0
	}
	d.data = d.data[n:]
	return x
}

// decode decodes a batch. All that is malformed is an error: entries before it count for
// nothing either.
func decode(data []byte) (Header, []entry, error) {
	if len(data) > MaxBatch {
		return Header{}, nil, errors.NotValidf("batch of %d bytes", len(data))
	}
	d := &decoder{data: data}
	if v := d.byte(); v != formatVersion {
		return Header{}, nil, errors.NotSupportedf("batch of version %d", v)
	}
	h := Header{Young: d.byte()&1 != 0}
	h.Name = string(d.take(int(d.byte())))
	h.Incarnation = d.uint64()
	h.Size = min(d.uvarint(), maxSize)
	var entries []entry
	for len(d.data) > 0 && !d.failed {
		e, err := d.entry()
		if err != nil {
			return Header{}, nil, err
		}
		entries = append(entries, e)
	}
	if d.failed || h.Name == "" {
		return Header{}, nil, errors.NotValidf("batch that ends early or has no sender")
	}
	return h, entries, nil
}

func (d *decoder) entry() (entry, error) {
	e := entry{kind: kind(d.byte())}
	switch e.kind {
	case kindReport, kindCopy:
		e.report = report{id: ID(d.uint64()), serial: d.uvarint(), total: d.uvarint(), window: d.uvarint(), settled: d.uvarint(), ask: d.uvarint(), n: min(d.uvarint(), maxAsk)}
	case kindAnswer:
		e.answer = answer{id: ID(d.uint64()), limited: d.byte() != 0, total: d.uvarint(), allowance: d.uvarint(), ask: d.uvarint(), granted: min(d.uvarint(), maxAsk)}
		e.answer.hold = time.Duration(min(d.uvarint(), uint64(maxHold/time.Millisecond))) * time.Millisecond
	case kindMode:
		e.mode = mode{id: ID(d.uint64()), limited: d.byte() != 0}
	case kindPing, kindPong:
		e.ping = d.uvarint()
	default:
		return e, errors.NotValidf("entry of kind %d", e.kind)
	}
	return e, nil
}

// Outgoing is a batch to be sent to a process.
type Outgoing struct {
	To   string
	Data []byte
}

// outbox gathers entries by receiver.
type outbox struct {
	header  func() Header
	batches map[string][]byte // by receiver
	full    []Outgoing
}

func newOutbox(header func() Header) outbox {
	return outbox{header: header, batches: map[string][]byte{}}
}

// add adds an entry to the batch for a process.
func (o *outbox) add(to string, e *entry) {
	buf := o.batches[to]
	if buf == nil {
		h := o.header()
		buf = appendHeader(make([]byte, 0, 128), &h)
	}
	before := len(buf)
	buf = appendEntry(buf, e)
	if len(buf) > MaxDatagram {
		o.full = append(o.full, Outgoing{to, buf[:before:before]})
		h := o.header()
		buf = appendEntry(appendHeader(make([]byte, 0, MaxDatagram), &h), e)
	}
	o.batches[to] = buf
}

// take returns all batches and empties the outbox.
func (o *outbox) take() []Outgoing {
	out := o.full
	o.full = nil
	for to, buf := range o.batches {
		out = append(out, Outgoing{to, buf})
	}
	clear(o.batches)
	slices.SortStableFunc(out, func(a, b Outgoing) int { return strings.Compare(a.To, b.To) })
	return out
}
