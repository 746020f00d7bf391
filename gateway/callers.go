package gateway

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"

	"github.com/goldcrestmux/goldcrestmux/code"
	"github.com/goldcrestmux/goldcrestmux/coverage"
	"github.com/goldcrestmux/goldcrestmux/folder"
	"github.com/goldcrestmux/goldcrestmux/query"
)

// contractIndex is a set of contracts with the decoded token hashes of the
// callers and the shard maps of all index versions. It is immutable.
type contractIndex struct {
	contracts *folder.Contracts
	tokens    []callerToken
	versions  map[versionKey]*indexVersion
}

type versionKey struct{ search, version string }

// indexVersion is the shard map of one index version, prepared for queries.
type indexVersion struct {
	version    string
	shards     []query.Shard
	shardNames *coverage.Shards
}

// shardOf returns the shard that holds the record with the given key.
func (p *indexVersion) shardOf(key string) query.Shard {
	name := folder.ShardOf(key, p.shardNames.Names())
	i, _ := slices.BinarySearchFunc(p.shards, name, func(s query.Shard, name string) int {
		return strings.Compare(s.Name, name)
	})
	return p.shards[i]
}

func newIndexVersion(name string, v folder.Version) *indexVersion {
	names := v.SortedShards()
	p := &indexVersion{version: name, shardNames: coverage.NewShards(names)}
	for _, name := range names {
		p.shards = append(p.shards, query.Shard{Name: name, Replicas: v.Shards[name]})
	}
	return p
}

type callerToken struct {
	hash   []byte
	caller folder.Caller
}

func newContractIndex(c *folder.Contracts) *contractIndex {
	index := &contractIndex{contracts: c, versions: make(map[versionKey]*indexVersion)}
	for _, s := range c.Searches {
		for name, v := range s.Versions {
			index.versions[versionKey{s.Name, name}] = newIndexVersion(name, v)
		}
	}
	for _, caller := range c.Callers {
		hash, err := hex.DecodeString(caller.TokenSHA256)
		if err != nil {
			continue // cannot happen: folder.Load accepts only hexadecimal hashes
		}
		index.tokens = append(index.tokens, callerToken{hash: hash, caller: caller})
	}
	return index
}

// authenticate returns the caller that the request's bearer token belongs to. It
// compares the token with those of all callers, each in constant time, so that
// its duration reveals nothing about the tokens.
func (x *contractIndex) authenticate(r *http.Request) (folder.Caller, *Error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return folder.Caller{}, notRunError(code.Unauthorized, "the Authorization header must be: Bearer TOKEN")
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
		return folder.Caller{}, notRunError(code.Unauthorized, "the token is not known")
	}
	return found, nil
}

// authorize returns the search if the caller has access to it.
func (x *contractIndex) authorize(caller folder.Caller, search string) (folder.Search, *Error) {
	s, ok := x.contracts.Searches[search]
	if !ok {
		return folder.Search{}, notRunError(code.UnknownSearch, "there is no search named "+search)
	}
	if !slices.Contains(caller.Searches, search) {
		return folder.Search{}, notRunError(code.Forbidden, "caller "+caller.Name+" may not reach search "+search)
	}
	return s, nil
}
