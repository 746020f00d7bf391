package relay

import (
	"container/heap"
	"context"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// jobID identifies a sub-request. The IDs of sub-requests are unique only among
// those of one link.
type jobID struct {
	link *link.Link
	id   uint64
}

// job is one sub-request, from its receipt to its response.
type job struct {
	id       jobID
	batch    *wire.Batch
	sub      wire.SubRequest
	deadline time.Time
	index    int // position in the queue, or -1
	cancel   context.CancelFunc
	ctx      context.Context
}

func newJob(l *link.Link, b *wire.Batch, sub wire.SubRequest) *job {
	ctx, cancel := context.WithCancel(context.Background())
	return &job{
		id:       jobID{link: l, id: sub.ID},
		batch:    b,
		sub:      sub,
		deadline: b.Deadline,
		index:    -1,
		ctx:      ctx,
		cancel:   cancel,
	}
}

// respond sends the response to the gateway. An error is ignored: if the link is
// closed, the gateway detects that itself.
func (j *job) respond(response wire.SubResponse) {
	j.cancel()
	response.ID = j.sub.ID
	response.QueryID = j.batch.QueryID
	response.Version = j.batch.Version
	response.Shard = j.sub.Shard
	response.Target = j.sub.Target
	_ = j.id.link.Send(&wire.Frame{SubResponses: []wire.SubResponse{response}})
}

// refuse responds to a job that did not run. queueLength is the number of jobs that
// wait or run at the target.
func (j *job) refuse(c code.Code, queueLength int) {
	metrics.refused.Add(string(c), 1)
	j.respond(wire.SubResponse{Code: c, Run: code.NotRun, QueueLength: uint16(queueLength)})
}

// jobQueue is a heap of the queued jobs of one target, ordered by priority, the
// highest (0) first, and within a priority by deadline. Ordered by deadline alone,
// jobs that have waited for admission would come before jobs of a higher priority
// that have not.
type jobQueue []*job

// Len implements heap.Interface.
func (q jobQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q jobQueue) Less(a, b int) bool {
	if q[a].batch.Priority != q[b].batch.Priority {
		return q[a].batch.Priority < q[b].batch.Priority
	}
	return q[a].deadline.Before(q[b].deadline)
}

// Swap implements heap.Interface.
func (q jobQueue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].index = a
	q[b].index = b
}

// Push implements heap.Interface.
func (q *jobQueue) Push(x any) {
	j := x.(*job)
	j.index = len(*q)
	*q = append(*q, j)
}

// Pop implements heap.Interface.
func (q *jobQueue) Pop() any {
	old := *q
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	j.index = -1
	return j
}

func (q *jobQueue) add(j *job)    { heap.Push(q, j) }
func (q *jobQueue) next() *job    { return heap.Pop(q).(*job) }
func (q *jobQueue) remove(j *job) { heap.Remove(q, j.index) }
