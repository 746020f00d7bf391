package quarantine

import "testing"

func TestKeyTellsRequestsApart(t *testing.T) {
	base := KeyOf("10.0.0.1", "GET", "a.example", "/x", "body")
	if KeyOf("10.0.0.1", "GET", "a.example", "/x", "body") != base {
		t.Error("the same request has two keys")
	}
	for name, other := range map[string]Key{
		"caller": KeyOf("10.0.0.2", "GET", "a.example", "/x", "body"),
		"path":   KeyOf("10.0.0.1", "GET", "a.example", "/y", "body"),
		"body":   KeyOf("10.0.0.1", "GET", "a.example", "/x", "bodz"),
		"parts":  KeyOf("10.0.0.1", "GET", "a.example/x", "", "body"),
	} {
		if other == base {
			t.Errorf("requests that differ by %s have the same key", name)
		}
	}
}
