package folder

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

const hash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"

// baseFolder returns a valid folder with one file per section.
func baseFolder() []File {
	return []File{
		{"00-data-centres.jsonc", []byte(`{"data_centres": {"bne": {"region": "qld"}, "tsv": {"region": "qld"}}}`)},
		{"10-targets.jsonc", []byte(`{"targets": {
  "a": {"address": "127.0.0.1:1", "data_centre": "bne", "slots": 2, "connections": 25},
  "b": {"address": "127.0.0.1:2", "data_centre": "tsv", "slots": 2, "connections": 25, "group": "g"},
}}`)},
		{"20-search.jsonc", []byte(`{"searches": {"judges": {
  "current": "v2", "deadline": "800ms",
  "versions": {
    "v1": {"sequence": 1, "shards": {"s1": ["a", "b"]}},
    "v2": {"sequence": 2, "shards": {"s1": ["a", "b"], "s2": ["b"]}},
  },
}}}`)},
		{"30-caller.jsonc", []byte(`{"callers": {"panel": {
  "token_sha256": "` + hash + `", "searches": ["judges"], "rate": 50, "burst": 20, // requests
}}}`)},
	}
}

// baseFolderWith returns baseFolder with one more file.
func baseFolderWith(name, text string) []File { return append(baseFolder(), File{name, []byte(text)}) }

func formatFields(m *Merged) []byte {
	var b strings.Builder
	for _, f := range m.Fields() {
		fmt.Fprintf(&b, "%s = %s (%s)\n", f.Path, f.Value, f.Origin)
	}
	return []byte(b.String())
}

func TestMergeValuesAndOrigins(t *testing.T) {
	m, err := Load(baseFolderWith("90-out.jsonc", `{
  "data_centres": {"tsv": {"state": "out"}},
  "searches": {"judges": {"wait": "300ms", "versions": {"v1": null, "v2": {"shards": {"s2": ["a"]}}}}}
}`))
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "merge", formatFields(m))
	judges := m.Contracts.Searches["judges"]
	if judges.StragglerWait != 300*time.Millisecond || m.Contracts.DataCentres["tsv"].State != StateOut || len(judges.Versions) != 1 {
		t.Errorf("the last file does not take precedence: %+v", judges)
	}
}

// TestFaults checks that Load reports all faults at once, with one or more
// examples of each kind.
func TestFaults(t *testing.T) {
	_, err := Load(baseFolderWith("50-faulty.jsonc", `{
  "colour": "red",
  "data_centres": {
    "bne": {"region": null, "state": "leaving"},
    "cns": {"regoin": "qld", "region": "qld"},
    "not a name": {"region": "qld"},
    "pnk": null,
  },
  "targets": {
    "a": {"address": "localhost:80", "slots": 2.5, "connections": "25"},
    "b": {"address": "127.0.0.1:0", "data_centre": "nowhere", "cold_slots": 3},
    "c": {"address": "127.0.0.1:3", "data_centre": "tsv", "slots": 4, "connections": 3},
    "d": {"address": "127.0.0.1:3", "data_centre": "tsv", "slots": 4, "slots": 4, "connections": 10001},
    "e": ["127.0.0.1:4"],
  },
  "searches": {
    "judges": {"current": "v3", "deadline": 800, "wait": "2", "hedge_share": 0.06, "warm_after": 0,
      "versions": {
        "v1": {"sequence": 2, "shards": {"s1": ["a", "a"], "s2": [], "s3": ["z", 7]}},
        "v2": {"sequence": null, "shards": null}}},
    "portal": {"current": "v1", "wait": "1100ms", "min_coverage": 1.5, "versions": {}},
  },
  "callers": {
    "panel": {"token_sha256": "ABC", "searches": ["judges", "secrets"], "burst": null, "priority": 10},
    "club": {"token_sha256": "`+hash+`", "searches": "judges", "rate": 0, "burst": 1, "actions": "yes"},
  },
}`))
	faults, ok := err.(*FaultError)
	if !ok {
		t.Fatalf("Load returned %v, want a *FaultError", err)
	}
	goldie.New(t).Assert(t, "faults", []byte(faults.Error()+"\n"))
}

// TestUnreadableFile checks that files that cannot be parsed are reported along
// with the faults of other files, and that the values they may define are not
// reported as missing.
func TestUnreadableFile(t *testing.T) {
	files := baseFolderWith("50-faulty.jsonc", `{"data_centres": {"bne": {"state": "off"}}}`)
	files[1].Data = []byte("{\n  \"targets\": {\n    \"a\" {}\n}}")
	files = append(files, File{"30-caller.jsonc", []byte("[]")},
		File{"60-large.jsonc", make([]byte, MaxFileBytes+1)})
	_, err := Load(files)
	if err == nil {
		t.Fatal("Load accepted a folder with unreadable files")
	}
	goldie.New(t).Assert(t, "unreadable", []byte(err.Error()+"\n"))
}

func TestDiff(t *testing.T) {
	load := func(files []File) *Merged {
		m, err := Load(files)
		if err != nil {
			t.Fatal(err)
		}
		return m
	}
	before := load(baseFolder())
	after := load(baseFolderWith("90-change.jsonc", `{
  "searches": {"judges": {"deadline": "1s", "versions": {"v1": null}}},
  "callers": {"panel": {"rate": 50}},
  "targets": {"a": {"state": "leaving"}},
}`))
	var b strings.Builder
	for _, c := range Diff(before, after) {
		fmt.Fprintf(&b, "%s: %s (%s) -> %s (%s)\n", c.Path, c.Before, c.BeforeOrigin, c.After, c.AfterOrigin)
	}
	goldie.New(t).Assert(t, "diff", []byte(b.String()))
	if changes := Diff(after, after); len(changes) != 0 {
		t.Errorf("Diff of a folder with itself returned %v, want no changes", changes)
	}
}

// TestFileOrder checks that Load and Digest depend on the names of files and not
// on their order in the slice.
func TestFileOrder(t *testing.T) {
	files := baseFolderWith("90-out.jsonc", `{"data_centres": {"tsv": {"state": "out"}}}`)
	m, err := Load(files)
	if err != nil {
		t.Fatal(err)
	}
	want, digest := string(formatFields(m)), Digest(files)
	random := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		random.Shuffle(len(files), func(i, j int) { files[i], files[j] = files[j], files[i] })
		m, err := Load(files)
		if err != nil {
			t.Fatal(err)
		}
		if string(formatFields(m)) != want || Digest(files) != digest {
			t.Fatalf("the result depends on the order of files: %v", files)
		}
	}
	files[0].Data = append(files[0].Data, '\n')
	if Digest(files) == digest {
		t.Error("the digest did not change with the content of a file")
	}
}

// FuzzLoad checks that Load does not panic on any content, and that an accepted
// folder meets the invariants that the rest of the system relies on.
func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"targets": {"a": {"slots": 4}}, "searches": {"judges": {"versions": {"v1": null}}}}`))
	f.Add([]byte(`{"callers": {"panel": {"rate": 1e400, "burst": -1}}, /* open`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Load(append(baseFolder(), File{"50.jsonc", data}))
		if err != nil {
			if faults, ok := err.(*FaultError); !ok || len(faults.Faults) == 0 {
				t.Fatalf("Load returned an error without faults: %v", err)
			}
			return
		}
		for _, s := range m.Contracts.Searches {
			for _, targets := range s.Versions[s.Current].Shards {
				if len(targets) == 0 || m.Contracts.Targets[targets[0]].Slots < 1 || s.StragglerWait > s.Deadline {
					t.Fatalf("Load accepted a search that cannot be served: %+v", s)
				}
			}
		}
	})
}
