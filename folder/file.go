package folder

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"slices"
	"strings"
)

// MaxFileBytes is the maximum size of one file, which is the largest value that
// the configuration service stores.
const MaxFileBytes = 1 << 20

// File is one file of a folder. Name is its base name.
type File struct {
	Name string
	Data []byte
}

// FileHash is the name of a file and the hash of its content as returned by
// HashFile.
type FileHash struct {
	Name   string
	SHA256 string
}

// HashFile returns the SHA-256 hash of a file's content in lower-case hex.
func HashFile(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Digest returns the SHA-256 hash, in lower-case hex, of the names and content
// hashes of files sorted by name. It does not depend on the order of files.
func Digest(files []File) string {
	hashes := make([]FileHash, len(files))
	for i, f := range files {
		hashes[i] = FileHash{Name: f.Name, SHA256: HashFile(f.Data)}
	}
	return DigestHashes(hashes)
}

// DigestHashes returns the Digest of a folder whose files have the given
// hashes. It allows a manifest to be digested before the files are fetched.
func DigestHashes(hashes []FileHash) string {
	sorted := slices.Clone(hashes)
	slices.SortFunc(sorted, func(a, b FileHash) int { return strings.Compare(a.Name, b.Name) })
	sum := sha256.New()
	for _, h := range sorted {
		io.WriteString(sum, h.Name+"\x00"+h.SHA256+"\n")
	}
	return hex.EncodeToString(sum.Sum(nil))
}
