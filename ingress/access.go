package ingress

import (
	"net/http"
	"sync"
	"time"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/forward"
)

// Reasons of responses to requests whose caller is not authenticated.
const (
	ReasonNoKey        = "the request has no key"
	ReasonUnknownKey   = "the key is not known"
	ReasonKeyMaybeNew  = "the key is not known, and the configuration may be old"
	ReasonUnverifiable = "the configuration is too old to tell whether the key still holds"
	// ReasonKeyWithdrawn is that of peers whose configuration is later than that of the process
	// which the caller is connected to.
	ReasonKeyWithdrawn = "the key has been withdrawn"
)

// unverifiedRetryAfter is sent to callers while no key can be verified: outages of the store
// last seconds.
const unverifiedRetryAfter = 500 * time.Millisecond

// authenticate returns the organisation that holds the caller's key, or why the request is
// refused. Without configured organisations both are nil. It removes the key from the header,
// so that it is not passed on: also without organisations, as the caller may know of a
// configuration with organisations before this process does.
func (h *Handler) authenticate(header http.Header, view *catalog.View, route *catalog.Route, meta *Meta, now time.Time) (*catalog.Organisation, *forward.Response) {
	h.opts.HeaderCodec.RemoveKey(header)
	organisations := view.Organisations()
	if organisations == nil {
		return nil, nil
	}
	h.opts.HeaderCodec.RemoveOrganisation(header)
	var holder *catalog.Organisation
	if meta.HasKey {
		holder = organisations.Holder(meta.Key)
	}
	if route.Public {
		return holder, nil
	}
	age := now.Sub(h.opts.ConfirmedAt())
	switch {
	case !meta.HasKey:
		return nil, &forward.Response{Status: http.StatusUnauthorized, Reason: ReasonNoKey}
	case h.opts.MaxKeyAge > 0 && age > h.opts.MaxKeyAge:
		return nil, &forward.Response{Status: http.StatusServiceUnavailable, RetryAfter: unverifiedRetryAfter, Reason: ReasonUnverifiable}
	case holder == nil && h.mayBeOld(age):
		return nil, &forward.Response{Status: http.StatusServiceUnavailable, RetryAfter: unknownRetryAfter, Reason: ReasonKeyMaybeNew}
	case holder == nil:
		return nil, &forward.Response{Status: http.StatusUnauthorized, Reason: ReasonUnknownKey}
	}
	return holder, nil
}

// mayBeOld reports whether a view of the given age may lack what has been published.
func (h *Handler) mayBeOld(age time.Duration) bool {
	return age > h.opts.StaleAfter || (h.opts.Behind != nil && h.opts.Behind())
}

// keyRefusals are the causes of refusals by the caller's key, by the reason of the response.
var keyRefusals = map[string]string{
	ReasonNoKey: "missing", ReasonUnknownKey: "unknown", ReasonKeyMaybeNew: "stale_view",
	ReasonUnverifiable: "unverifiable", ReasonKeyWithdrawn: "withdrawn",
}

// RefusedKey returns the cause of a refusal by the caller's key, of a fixed set, for the
// reason of a response. It returns false for other reasons.
func RefusedKey(reason string) (cause string, ok bool) {
	cause, ok = keyRefusals[reason]
	return cause, ok
}

// maxRefusalLines is the number of lines about refused keys in a second, and also that of lines
// about requests that are refused as the process stops. Who has no key, or does not go
// elsewhere, may send any number of requests.
const maxRefusalLines = 10

// refusalLog bounds the lines about refusals of one kind. It is safe for concurrent use.
type refusalLog struct {
	mu             sync.Mutex
	since          time.Time // start of the current second
	lines, omitted int
}

// allow reports whether a line may be written, and the number of those that were not since
// the last one.
func (l *refusalLog) allow(now time.Time) (ok bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.since) >= time.Second {
		l.since, l.lines = now, 0
	}
	if l.lines == maxRefusalLines {
		l.omitted++
		return false, 0
	}
	l.lines++
	omitted, l.omitted = l.omitted, 0
	return true, omitted
}
