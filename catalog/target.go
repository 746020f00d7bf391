package catalog

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Bounds of what targets publish about themselves. Beyond them, an entry is taken for one
// that no target has written.
const (
	maxTargetText   = 256     // bytes of a name or an address
	maxTargetSlots  = 1 << 20 // a larger number draws all requests to one target
	maxTargetCount  = 1 << 53 // of updates, and of milliseconds since the Unix epoch
	maxTargetWarmup = 24 * time.Hour
)

// validate returns an error that describes the first fault that makes the target unusable, or
// nil.
func (t *Target) validate() error {
	switch {
	case !validToken(t.ID):
		return errors.NotValidf("ID %.64q, which is sent in a header,", t.ID)
	case t.Service == "" || len(t.Service) > maxTargetText:
		return errors.NotValidf("service %.64q", t.Service)
	case len(t.DataCentre) > maxTargetText:
		return errors.NotValidf("data centre %.64q", t.DataCentre)
	case !validAddress(t.Address):
		return errors.NotValidf("address %.64q", t.Address)
	case t.Slots < 0 || t.Slots > maxTargetSlots:
		return errors.NotValidf("number of slots %d", t.Slots)
	case t.Sequence < 0 || t.Sequence >= maxTargetCount:
		return errors.NotValidf("sequence %d", t.Sequence)
	case t.Incarnation < 0 || t.Incarnation >= maxTargetCount:
		return errors.NotValidf("incarnation %d", t.Incarnation)
	case t.WarmupRemaining > maxTargetWarmup:
		return errors.NotValidf("remaining warm-up %v", t.WarmupRemaining)
	}
	return nil
}

// validToken reports whether a header can carry a text unchanged, as one word.
func validToken(text string) bool {
	return text != "" && len(text) <= maxTargetText && !strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c == 0x7f })
}

// validAddress reports whether a connection can be opened to an address: a host, which is a
// name or an IP address, and a port from 1 to 65535.
func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || !validToken(host) || strings.ContainsAny(host, `/@?#\"<>`) {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
