package gateway

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/folder"
)

// callerIndex is a set of contracts with the callers' token hashes decoded. It
// is immutable.
type callerIndex struct {
	contracts *folder.Contracts
	tokens    []callerToken
}

type callerToken struct {
	hash   []byte
	caller folder.Caller
}

func newCallerIndex(c *folder.Contracts) *callerIndex {
	index := &callerIndex{contracts: c}
	for _, caller := range c.Callers {
		hash, err := hex.DecodeString(caller.TokenSHA256)
		if err != nil {
			continue // folder.Load accepts only hashes in hex
		}
		index.tokens = append(index.tokens, callerToken{hash: hash, caller: caller})
	}
	return index
}

// authenticate returns the caller to whom the request's bearer token belongs.
// Every token is compared, each in constant time.
func (x *callerIndex) authenticate(r *http.Request) (folder.Caller, *Error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return folder.Caller{}, refusal(code.Unauthorized, "the Authorization header must be: Bearer TOKEN")
	}
	hash := sha256.Sum256([]byte(token))
	var found folder.Caller
	matched := 0
	for _, t := range x.tokens {
		if subtle.ConstantTimeCompare(hash[:], t.hash) == 1 {
			found = t.caller
			matched = 1
		}
	}
	if matched == 0 {
		return folder.Caller{}, refusal(code.Unauthorized, "the token is not known")
	}
	return found, nil
}

// authorize returns the search if the caller may reach it.
func (x *callerIndex) authorize(caller folder.Caller, search string) (folder.Search, *Error) {
	s, ok := x.contracts.Searches[search]
	if !ok {
		return folder.Search{}, refusal(code.UnknownSearch, "there is no search named "+search)
	}
	if !slices.Contains(caller.Searches, search) {
		return folder.Search{}, refusal(code.Forbidden, "caller "+caller.Name+" may not reach search "+search)
	}
	return s, nil
}
