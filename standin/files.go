package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// tokenSuffix follows a caller's name in its token. The tokens are for tests only.
const tokenSuffix = "-token"

// Contract values that the generated folder sets for each search and caller.
const (
	folderDeadline    = Duration(1e9)
	folderWait        = Duration(300e6)
	folderMinCoverage = 0.5
	folderHedgeShare  = 0.05
	folderRate        = 2000
	folderBurst       = 200
	folderConcurrency = 256
)

// File is a file of the folder.
type File struct {
	Name string `json:"name"`
	Data []byte `json:"data"`
}

// Token returns the bearer token of the named caller in the generated folder.
func Token(caller string) string { return caller + tokenSuffix }

// folderPart is the JSON form of one file of the folder.
type folderPart struct {
	DataCentres map[string]dataCentrePart `json:"data_centres,omitempty"`
	Targets     map[string]targetPart     `json:"targets,omitempty"`
	Searches    map[string]searchPart     `json:"searches,omitempty"`
	Callers     map[string]callerPart     `json:"callers,omitempty"`
}

type dataCentrePart struct {
	Region string `json:"region"`
	State  string `json:"state"`
}

type targetPart struct {
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Group       string `json:"group"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	ColdSlots   int    `json:"cold_slots"`
	State       string `json:"state"`
}

type searchPart struct {
	Current     string                 `json:"current"`
	Deadline    Duration               `json:"deadline"`
	Wait        Duration               `json:"wait"`
	MinCoverage float64                `json:"min_coverage"`
	HedgeShare  float64                `json:"hedge_share"`
	WarmAfter   int                    `json:"warm_after"`
	Versions    map[string]versionPart `json:"versions"`
}

type versionPart struct {
	Sequence int                 `json:"sequence"`
	Shards   map[string][]string `json:"shards"`
}

type callerPart struct {
	TokenSHA256 string   `json:"token_sha256"`
	Searches    []string `json:"searches"`
	Actions     bool     `json:"actions"`
	Rate        float64  `json:"rate"`
	Burst       int      `json:"burst"`
	Concurrency int      `json:"concurrency"`
	Priority    int      `json:"priority"`
}

// FolderFiles returns the files that describe the layout to the query tier.
// Each search has one caller of the same name.
func FolderFiles(l Layout, warmAfter int) []File {
	dataCentres := make(map[string]dataCentrePart)
	for _, name := range l.DataCentres {
		dataCentres[name] = dataCentrePart{Region: region, State: "in"}
	}
	files := []File{newFile("10-data-centres.json", folderPart{DataCentres: dataCentres})}
	for i, s := range l.Searches {
		files = append(files,
			newFile(fmt.Sprintf("20-targets-%s.json", s.Name), folderPart{Targets: l.targetParts(s.Name)}),
			newFile(fmt.Sprintf("30-search-%s.json", s.Name), folderPart{Searches: map[string]searchPart{s.Name: s.part(warmAfter)}}),
			newFile(fmt.Sprintf("40-caller-%s.json", s.Name), folderPart{Callers: map[string]callerPart{s.Name: caller(s.Name, i)}}),
		)
	}
	return files
}

func (l *Layout) targetParts(search string) map[string]targetPart {
	parts := make(map[string]targetPart)
	for _, t := range l.Targets {
		if t.Search != search {
			continue
		}
		parts[t.Name] = targetPart{
			Address: t.Address, DataCentre: t.DataCentre, Group: t.Group,
			Slots: t.Slots, Connections: t.Connections, ColdSlots: t.ColdSlots, State: "in",
		}
	}
	return parts
}

func (s *SearchLayout) part(warmAfter int) searchPart {
	versions := make(map[string]versionPart)
	for _, v := range s.Versions {
		shards := make(map[string][]string)
		for _, shard := range v.Shards {
			shards[shard.Name] = shard.Targets
		}
		versions[v.Name] = versionPart{Sequence: v.Sequence, Shards: shards}
	}
	return searchPart{
		Current: FirstVersion, Deadline: folderDeadline, Wait: folderWait,
		MinCoverage: folderMinCoverage, HedgeShare: folderHedgeShare,
		WarmAfter: warmAfter, Versions: versions,
	}
}

func caller(search string, priority int) callerPart {
	sum := sha256.Sum256([]byte(Token(search)))
	return callerPart{
		TokenSHA256: hex.EncodeToString(sum[:]),
		Searches:    []string{search}, Actions: true,
		Rate: folderRate, Burst: folderBurst, Concurrency: folderConcurrency,
		Priority: priority,
	}
}

func newFile(name string, part folderPart) File {
	data, err := json.MarshalIndent(part, "", "  ")
	if err != nil {
		panic(err) // the part's types can't fail to encode
	}
	return File{Name: name, Data: append(data, '\n')}
}
