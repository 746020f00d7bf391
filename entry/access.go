package entry

import (
	"net/http"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/ingress"
	"github.com/goldcrestmux/goldcrestmux/wire"
)

// authenticateQuery authenticates a request of a peer that names no organisation, although
// organisations are configured here: its configuration has none yet. Such a peer sends the hash
// of the caller's key, or passes on the headers that the caller sent, with its key, if it is of
// a former build. authenticateQuery removes the key from them, and sets the organisation of the
// query as a peer whose configuration has organisations does.
//
// A request that is rejected gets a response to the caller, and no refusal: the peer would
// run a refused request by itself, without any key.
func (g *gatherer) authenticateQuery(v *catalog.View, q *wire.Query, now time.Time) (rejection *wire.QueryResponse) {
	organisations, route := v.Organisations(), v.RouteOfURI(q.Host, q.URI)
	if organisations == nil || q.Organisation != "" || route == nil {
		return nil
	}
	// An invalid ID or deadline is the sender's to reject; the key is decoded all the same.
	meta, _ := g.p.adapter.HeaderCodec.Decode(q.Header)
	g.p.adapter.HeaderCodec.RemoveKey(q.Header)
	g.p.adapter.HeaderCodec.RemoveOrganisation(q.Header)
	if len(q.Key) == len(meta.Key) {
		meta.Key, meta.HasKey = catalog.KeyHash(q.Key), true
	}
	var holder *catalog.Organisation
	if meta.HasKey {
		holder = organisations.Holder(meta.Key)
	}
	q.Key = nil
	if holder != nil {
		q.Organisation, q.Key = holder.Name, meta.Key[:]
	}
	reject := func(status int, reason string, retryAfter time.Duration) *wire.QueryResponse {
		return &wire.QueryResponse{
			Status: status, Reason: reason, RetryAfterMicros: uint64(retryAfter.Microseconds()),
			Single: !route.Sharded(), Version: v.Version,
		}
	}
	age := now.Sub(g.p.follower.ConfirmedAt())
	switch {
	case route.Public:
		return nil
	case !meta.HasKey:
		return reject(http.StatusUnauthorized, ingress.ReasonNoKey, 0)
	case g.p.settings.MaxKeyAge > 0 && age > g.p.settings.MaxKeyAge:
		return reject(http.StatusServiceUnavailable, ingress.ReasonUnverifiable, rejectedRetryAfter)
	case holder == nil && (age > staleAfter || g.behind()):
		return reject(http.StatusServiceUnavailable, ingress.ReasonKeyMaybeNew, rejectedRetryAfter)
	case holder == nil:
		return reject(http.StatusUnauthorized, ingress.ReasonUnknownKey, 0)
	}
	return nil
}

// rejectedRetryAfter is when a caller may come back whose key cannot be verified now: outages
// of the store last seconds.
const rejectedRetryAfter = 500 * time.Millisecond
