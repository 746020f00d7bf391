package ingress

import (
	"context"
	"net/http"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/forward"
)

// Quota decides whether requests of organisations with a quota may run.
type Quota interface {
	// Admit returns the response if the request is refused. It may wait for milliseconds.
	Admit(ctx context.Context, o *catalog.Organisation) *forward.Response
	// GiveBack takes back a request of an organisation that was admitted and did not run.
	GiveBack(name string)
}

// checkQuota returns the response to a request that exceeds the quota of its organisation, or
// nil.
func (h *Handler) checkQuota(ctx context.Context, o *catalog.Organisation) *forward.Response {
	if h.opts.Quota == nil || !o.Limited() {
		return nil
	}
	return h.opts.Quota.Admit(ctx, o)
}

// settleQuota gives a request that did not run back to the quota of its organisation.
func (h *Handler) settleQuota(o *catalog.Organisation, resp *forward.Response) {
	if h.opts.Quota == nil || !o.Limited() || !refusedUnrun(resp) {
		return
	}
	h.opts.Quota.GiveBack(o.Name)
}

// refusedUnrun reports whether the response says that no target has run the request: those of
// targets have a signature or a header, and those of shards are marked.
func refusedUnrun(resp *forward.Response) bool {
	refused := resp.Status == http.StatusServiceUnavailable || resp.Status == http.StatusUnauthorized
	return refused && resp.Reason != "" && resp.Signature == "" && resp.Header == nil && !resp.Sharded
}
