// Package quarantine decides which requests are no longer sent to targets because they
// crash the targets that run them. The processes tell each other what they have seen.
//
// State is pure: time and randomness are passed in, and it does no I/O.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// Key identifies a request across its repeats: two requests have the same key if they
// have the same caller and the same content. The first bytes identify the caller.
type Key [16]byte

// callerBytes is the number of bytes of a Key that identify the caller.
const callerBytes = 6

// KeyOf returns the key of a request of a caller with the given content. The hash is
// cryptographic: a caller must not be able to make a request that has the key of another
// caller's request.
func KeyOf(caller string, content ...string) Key {
	var k Key
	whole := sha256.New()
	for _, part := range append([]string{caller}, content...) {
		var size [8]byte // separates the parts
		binary.LittleEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = whole.Write(size[:]) // never fails, like the next one
		_, _ = io.WriteString(whole, part)
	}
	owner := sha256.Sum256([]byte(caller))
	copy(k[:callerBytes], owner[:])
	copy(k[callerBytes:], whole.Sum(nil))
	return k
}

// Known reports whether the key is set.
func (k Key) Known() bool { return k != Key{} }

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler, for logs.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }
