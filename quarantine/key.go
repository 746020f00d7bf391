// Package quarantine decides which requests are no longer sent to targets because they
// crash the targets that run them. The processes tell each other what they have seen.
//
// State is pure: time is passed in, and it does no I/O. Guard makes it safe for concurrent
// use.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"strings"
)

// Key identifies a request across its repeats: two requests have the same key if they
// have the same caller and the same content. The first bytes identify the caller, the
// others the content.
type Key [16]byte

// callerBytes is the number of bytes of a Key that identify the caller.
const callerBytes = 6

// KeyOf returns the key of a request of a caller with the given content. The hash is
// cryptographic: a caller must not be able to make a request that has the key of another
// request.
func KeyOf(caller string, content ...string) Key {
	var k Key
	owner := sha256.Sum256([]byte(caller))
	copy(k[:callerBytes], owner[:])
	copy(k[callerBytes:], digest(content...))
	return k
}

// digest returns a hash of the parts, which differs if they are divided otherwise.
func digest(parts ...string) []byte {
	h := sha256.New()
	for _, part := range parts {
		var size [8]byte
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:]) // never fails, like the next one
		_, _ = io.WriteString(h, part)
	}
	return h.Sum(nil)
}

// Keys identify a request by all of its content, and without its query: the query may be
// another one in each repeat.
type Keys struct {
	// Exact is the key of all of the content, and Path that without the query; zero if
	// there is none.
	Exact Key `cbor:"1,keyasint"`
	Path  Key `cbor:"2,keyasint"`
}

// KeysOf returns the keys of an HTTP request of a caller. The URI is the path, with the
// query if there is one.
func KeysOf(caller, method, host, uri string, body []byte) Keys {
	content := string(body)
	keys := Keys{Exact: KeyOf(caller, method, host, uri, content)}
	if path, _, ok := strings.Cut(uri, "?"); ok {
		keys.Path = KeyOf(caller, method, host, path, content)
	}
	return keys
}

// Known reports whether the request is identified.
func (k *Keys) Known() bool { return k.Exact.Known() }

// all returns the keys that are known.
func (k *Keys) all() []Key {
	both := [...]Key{k.Exact, k.Path}
	switch {
	case !k.Exact.Known():
		return nil
	case !k.Path.Known():
		return both[:1]
	}
	return both[:]
}

// Known reports whether the key is set.
func (k Key) Known() bool { return k != Key{} }

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler, for logs.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// At returns the key of the request at one service of many.
func (k Key) At(service string) Key {
	at := k
	copy(at[callerBytes:], digest(string(k[callerBytes:]), service))
	return at
}

type callerID [callerBytes]byte

type contentID [len(Key{}) - callerBytes]byte

// anyCaller stands for all callers that send requests with the same content.
var anyCaller callerID

func (k Key) caller() callerID { return callerID(k[:callerBytes]) }

func (k Key) content() contentID { return contentID(k[callerBytes:]) }

// ofAny returns the key that stands for the same content from any caller.
func (k Key) ofAny() Key {
	copy(k[:callerBytes], anyCaller[:])
	return k
}

// fingerprint returns a number that differs between keys.
func (k Key) fingerprint() uint64 {
	return binary.LittleEndian.Uint64(k[:8]) ^ binary.LittleEndian.Uint64(k[8:])
}
