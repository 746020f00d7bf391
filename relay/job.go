package relay

import (
	"container/heap"
	"context"
	"time"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// jobID identifies a sub-request: IDs are unique per link only.
type jobID struct {
	link *link.Link
	id   uint64
}

// job is one sub-request from its receipt to its reply.
type job struct {
	id       jobID
	batch    *wire.Batch
	sub      wire.SubRequest
	deadline time.Time
	index    int // place in the queue, or -1
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

// reply sends the final answer to the gateway. A link that is gone has told
// the gateway so.
func (j *job) reply(r wire.SubResponse) {
	j.cancel()
	r.ID = j.sub.ID
	r.QueryID = j.batch.QueryID
	r.Version = j.batch.Version
	r.Shard = j.sub.Shard
	r.Target = j.sub.Target
	_ = j.id.link.Send(&wire.Frame{SubResponses: []wire.SubResponse{r}})
}

// refuse answers a job that did not run.
func (j *job) refuse(c code.Code, queue int) {
	metrics.refused.Add(string(c), 1)
	j.reply(wire.SubResponse{Code: c, Run: code.NotRun, QueueLength: uint16(queue)})
}

// jobQueue holds the waiting jobs of one target: the most urgent callers' first,
// and of these the earliest deadline first. The order by deadline alone would
// put work that has waited for admission before urgent work that has not.
type jobQueue []*job

func (q jobQueue) Len() int { return len(q) }
func (q jobQueue) Less(a, b int) bool {
	if q[a].batch.Priority != q[b].batch.Priority {
		return q[a].batch.Priority < q[b].batch.Priority
	}
	return q[a].deadline.Before(q[b].deadline)
}

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
