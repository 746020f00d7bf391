package ingress

import (
	"context"
	"net/http"
	"testing"

	"github.com/goldcrestmux/goldcrestmux/catalog"
	"github.com/goldcrestmux/goldcrestmux/forward"
)

// countingQuota counts the requests that it admits and that are given back.
type countingQuota struct{ admitted, returned int }

func (q *countingQuota) Admit(context.Context, *catalog.Organisation) *forward.Response {
	q.admitted++
	return nil
}

func (q *countingQuota) GiveBack(string) { q.returned++ }

// Guards against requests that are given back although a target may have run them, and
// against those that did not run and count all the same.
func TestOnlyRequestsThatDidNotRunAreGivenBack(t *testing.T) {
	limited := &catalog.Organisation{Name: "a", Rate: 1}
	for name, c := range map[string]struct {
		organisation *catalog.Organisation
		resp         forward.Response
		want         int
	}{
		"refused":                         {limited, forward.Response{Status: http.StatusServiceUnavailable, Reason: "no target"}, 1},
		"key withdrawn":                   {limited, forward.Response{Status: http.StatusUnauthorized, Reason: "withdrawn"}, 1},
		"served":                          {limited, forward.Response{Status: http.StatusOK}, 0},
		"a target's own 503":              {limited, forward.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}}, 0},
		"a target's signed 503":           {limited, forward.Response{Status: http.StatusServiceUnavailable, Signature: "s", Reason: "r"}, 0},
		"late":                            {limited, forward.Response{Status: http.StatusGatewayTimeout, Reason: "deadline"}, 0},
		"broken":                          {limited, forward.Response{Status: http.StatusBadGateway, Reason: "broken"}, 0},
		"an organisation without a quota": {&catalog.Organisation{Name: "b"}, forward.Response{Status: http.StatusServiceUnavailable, Reason: "r"}, 0},
		"no organisation":                 {nil, forward.Response{Status: http.StatusServiceUnavailable, Reason: "r"}, 0},
	} {
		q := &countingQuota{}
		h := New(Options{Quota: q})
		h.settleQuota(c.organisation, &c.resp)
		if q.returned != c.want {
			t.Errorf("%s: %d requests given back, want %d", name, q.returned, c.want)
		}
	}
}

// Guards against requests without a quota that are counted.
func TestOnlyOrganisationsWithQuotaAreCounted(t *testing.T) {
	q := &countingQuota{}
	h := New(Options{Quota: q})
	h.checkQuota(context.Background(), nil)
	h.checkQuota(context.Background(), &catalog.Organisation{Name: "b"})
	if q.admitted != 0 {
		t.Errorf("%d requests without a quota counted", q.admitted)
	}
	h.checkQuota(context.Background(), &catalog.Organisation{Name: "a", Rate: 1})
	if q.admitted != 1 {
		t.Errorf("%d requests with a quota counted, want 1", q.admitted)
	}
}
