package mesh

import (
	"context"

	"github.com/goldcrestmux/goldcrestmux/link"
	"github.com/goldcrestmux/goldcrestmux/wire"
	"github.com/juju/errors"
)

// Errors of queries.
var (
	// ErrNotSent is returned for a query that was not sent: the peer has not run it.
	ErrNotSent = errors.ConstError("query not sent: no link to the peer")
	// ErrQueryLost is returned for a query whose link was lost, or whose response cannot be
	// decoded. The peer may have run it.
	ErrQueryLost = errors.ConstError("query lost: no response from the peer")
)

// pendingQuery is a query that was sent to a peer.
type pendingQuery struct {
	link     *link.Link
	response chan wire.QueryResponse // closed if the response or the link is lost
}

// servedQuery identifies a query of a peer.
type servedQuery struct {
	link *link.Link
	id   uint64
}

// Reachable reports whether there is a link to the process on a VM.
func (m *Mesh) Reachable(vm string) bool { return m.pool.Get(ProcessName(vm)) != nil }

// Connect begins to open a link to the process on a VM if there is none.
func (m *Mesh) Connect(vm string) { m.pool.Connect(ProcessName(vm)) }

// Query hands a query to the peer on a VM, over a link that is open already. If ctx ends
// before the response, it tells the peer and returns the error of ctx.
func (m *Mesh) Query(ctx context.Context, vm string, q wire.Query) (wire.QueryResponse, error) {
	l := m.pool.Get(ProcessName(vm))
	if l == nil {
		return wire.QueryResponse{}, ErrNotSent
	}
	p := pendingQuery{link: l, response: make(chan wire.QueryResponse, 1)}
	m.mu.Lock()
	m.lastID++
	q.ID = m.lastID
	m.queries[q.ID] = p
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.queries, q.ID)
		m.mu.Unlock()
	}()
	if err := l.Send(&wire.Frame{Queries: []wire.Query{q}}); err != nil {
		return wire.QueryResponse{}, errors.Annotate(ErrNotSent, err.Error())
	}
	select {
	case response, ok := <-p.response:
		if !ok {
			return response, ErrQueryLost
		}
		return response, nil
	case <-ctx.Done():
		_ = l.Send(&wire.Frame{QueryCancels: []wire.QueryCancel{{ID: q.ID}}}) // a lost link ends the query as well
		return wire.QueryResponse{}, ctx.Err()
	}
}

// queryFrame handles the queries, responses and cancels of a frame.
func (m *Mesh) queryFrame(l *link.Link, f *wire.Frame) {
	for i := range f.Queries {
		if f.Queries[i].Undecodable {
			m.refuse(l, f.Queries[i].ID, "the query cannot be decoded")
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		key := servedQuery{l, f.Queries[i].ID}
		m.mu.Lock()
		m.serving[key] = cancel
		m.mu.Unlock()
		go m.serveQuery(ctx, key, &f.Queries[i])
	}
	for _, c := range f.QueryCancels {
		m.cancelServed(servedQuery{l, c.ID})
	}
	for _, response := range f.QueryResponses {
		m.mu.Lock()
		p, ok := m.queries[response.ID]
		ok = ok && p.link == l
		if ok {
			delete(m.queries, response.ID)
		}
		m.mu.Unlock()
		switch {
		case !ok:
		case response.Undecodable:
			close(p.response)
		default:
			p.response <- response
		}
	}
}

// refuse responds to a query that this process has not begun with.
func (m *Mesh) refuse(l *link.Link, id uint64, reason string) {
	if err := l.Send(&wire.Frame{QueryResponses: []wire.QueryResponse{{ID: id, Refused: reason}}}); err != nil {
		m.opts.Logger.Debug("refusal of a query not sent", "peer", l.Peer().VM, "error", err)
	}
}

func (m *Mesh) serveQuery(ctx context.Context, key servedQuery, q *wire.Query) {
	defer m.cancelServed(key)
	response := wire.QueryResponse{Refused: "takes no queries"}
	if m.opts.ServeQuery != nil {
		response = m.serveSafely(ctx, key.link.Peer().VM, q)
	}
	response.ID = q.ID
	err := key.link.Send(&wire.Frame{QueryResponses: []wire.QueryResponse{response}})
	if errors.Is(err, link.ErrFull) {
		failed := wire.QueryResponse{ID: q.ID, Status: statusFailed, Reason: "no memory for the response", Single: response.Single, Version: response.Version}
		err = key.link.Send(&wire.Frame{QueryResponses: []wire.QueryResponse{failed}})
	}
	if err != nil {
		m.opts.Logger.Debug("response to a query not sent", "peer", key.link.Peer().VM, "id", q.RequestID, "error", err)
	}
}

// serveSafely serves a query. A panic ends this query only.
func (m *Mesh) serveSafely(ctx context.Context, peer string, q *wire.Query) (response wire.QueryResponse) {
	defer func() {
		if cause := recover(); cause != nil {
			m.opts.Logger.Error("panic while serving a query of a peer", "peer", peer, "id", q.RequestID, "cause", cause)
			response = wire.QueryResponse{Status: statusFailed, Reason: "internal error"}
		}
	}()
	return m.opts.ServeQuery(ctx, peer, q)
}

// statusFailed is the status of a query that may have run and has no other response.
const statusFailed = 502

// cancelServed cancels a query of a peer and forgets it.
func (m *Mesh) cancelServed(key servedQuery) {
	m.mu.Lock()
	cancel := m.serving[key]
	delete(m.serving, key)
	m.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// queriesDown ends the queries to and from a peer whose link is lost.
func (m *Mesh) queriesDown(l *link.Link) {
	var cancels []func()
	m.mu.Lock()
	for id, p := range m.queries {
		if p.link == l {
			close(p.response)
			delete(m.queries, id)
		}
	}
	for key, cancel := range m.serving {
		if key.link == l {
			cancels = append(cancels, cancel)
			delete(m.serving, key)
		}
	}
	m.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}
