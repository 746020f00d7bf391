package folder

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"slices"
	"strings"
)

// MaxFileBytes bounds the content of one file. It is the largest value that
// the configuration service holds.
const MaxFileBytes = 1 << 20

// File is one file of a folder: its base name and its content.
type File struct {
	Name string
	Data []byte
}

// FileHash is a file's name with the hash of its content as HashFile returns it.
type FileHash struct {
	Name   string
	SHA256 string
}

// HashFile returns the SHA-256 of a file's content in lower-case hex.
func HashFile(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Digest returns the SHA-256, in lower-case hex, over the names and content
// hashes of files in the order of their names. The order of the argument
// doesn't matter.
func Digest(files []File) string {
	hashes := make([]FileHash, len(files))
	for i, f := range files {
		hashes[i] = FileHash{Name: f.Name, SHA256: HashFile(f.Data)}
	}
	return DigestHashes(hashes)
}

// DigestHashes returns the Digest of the folder whose files have the given
// hashes, for a reader that holds a manifest but not yet the contents.
func DigestHashes(hashes []FileHash) string {
	sorted := slices.Clone(hashes)
	slices.SortFunc(sorted, func(a, b FileHash) int { return strings.Compare(a.Name, b.Name) })
	sum := sha256.New()
	for _, h := range sorted {
		io.WriteString(sum, h.Name+"\x00"+h.SHA256+"\n")
	}
	return hex.EncodeToString(sum.Sum(nil))
}
