package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
)

// tokenSuffix is appended to a caller's name to form its token. The tokens are for
// tests only.
const tokenSuffix = "-token"

// Contract values of each search and caller in the generated folder.
const (
	folderDeadline      = Duration(1e9)   // 1 s
	folderWait          = Duration(300e6) // 300 ms
	folderMinCoverage   = 0.5
	folderHedgeFraction = 0.05
	folderRate          = 2000 // requests per second
	folderBurst         = 200  // requests
	folderConcurrency   = 256  // requests in progress
)

// File is one file of the folder.
type File struct {
	Name string `json:"name"`
	Data []byte `json:"data"`
}

// Token returns the bearer token of the named caller in the generated folder.
func Token(caller string) string { return caller + tokenSuffix }

// fileContent is the JSON content of one file of the folder.
type fileContent struct {
	DataCentres map[string]dataCentreConfig `json:"data_centres,omitempty"`
	Targets     map[string]targetConfig     `json:"targets,omitempty"`
	Searches    map[string]searchConfig     `json:"searches,omitempty"`
	Callers     map[string]callerConfig     `json:"callers,omitempty"`
}

type dataCentreConfig struct {
	Region string `json:"region"`
	State  string `json:"state"`
}

type targetConfig struct {
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Group       string `json:"group"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	ColdSlots   int    `json:"cold_slots"`
	State       string `json:"state"`
}

type searchConfig struct {
	Current       string                   `json:"current"`
	Deadline      Duration                 `json:"deadline"`
	Wait          Duration                 `json:"wait"`
	MinCoverage   float64                  `json:"min_coverage"`
	HedgeFraction float64                  `json:"hedge_share"`
	WarmAfter     int                      `json:"warm_after"`
	Versions      map[string]versionConfig `json:"versions"`
}

type versionConfig struct {
	Sequence int                 `json:"sequence"`
	Shards   map[string][]string `json:"shards"`
}

type callerConfig struct {
	TokenSHA256 string   `json:"token_sha256"`
	Searches    []string `json:"searches"`
	Actions     bool     `json:"actions"`
	Rate        float64  `json:"rate"`
	Burst       int      `json:"burst"`
	Concurrency int      `json:"concurrency"`
	Priority    int      `json:"priority"`
}

// FolderFiles returns the files of the folder that configures the system for the
// layout. Each search has one caller of the same name.
func FolderFiles(l Layout, warmAfter int) []File {
	dataCentres := make(map[string]dataCentreConfig)
	for _, name := range l.DataCentres {
		dataCentres[name] = dataCentreConfig{Region: region, State: "in"}
	}
	files := []File{newFile("10-data-centres.json", fileContent{DataCentres: dataCentres})}
	for i, s := range l.Searches {
		files = append(files,
			newFile(fmt.Sprintf("20-targets-%s.json", s.Name), fileContent{Targets: l.targetConfigs(s.Name)}),
			newFile(fmt.Sprintf("30-search-%s.json", s.Name), fileContent{Searches: map[string]searchConfig{s.Name: s.folderConfig(warmAfter)}}),
			newFile(fmt.Sprintf("40-caller-%s.json", s.Name), fileContent{Callers: map[string]callerConfig{s.Name: newCallerConfig(s.Name, i)}}),
		)
	}
	return files
}

func (l *Layout) targetConfigs(search string) map[string]targetConfig {
	configs := make(map[string]targetConfig)
	for _, t := range l.Targets {
		if t.Search != search {
			continue
		}
		configs[t.Name] = targetConfig{
			Address: t.Address, DataCentre: t.DataCentre, Group: t.Group,
			Slots: t.Slots, Connections: t.Connections, ColdSlots: t.ColdSlots, State: "in",
		}
	}
	return configs
}

func (s *SearchLayout) folderConfig(warmAfter int) searchConfig {
	versions := make(map[string]versionConfig)
	for _, v := range s.Versions {
		shards := make(map[string][]string)
		for _, shard := range v.Shards {
			shards[shard.Name] = shard.Targets
		}
		versions[v.Name] = versionConfig{Sequence: v.Sequence, Shards: shards}
	}
	return searchConfig{
		Current: FirstVersion, Deadline: folderDeadline, Wait: folderWait,
		MinCoverage: folderMinCoverage, HedgeFraction: folderHedgeFraction,
		WarmAfter: warmAfter, Versions: versions,
	}
}

func newCallerConfig(search string, priority int) callerConfig {
	sum := sha256.Sum256([]byte(Token(search)))
	return callerConfig{
		TokenSHA256: hex.EncodeToString(sum[:]),
		Searches:    []string{search}, Actions: true,
		Rate: folderRate, Burst: folderBurst, Concurrency: folderConcurrency,
		Priority: priority,
	}
}

func newFile(name string, content fileContent) File {
	data, err := json.MarshalIndent(content, "", "  ")
	if err != nil {
		panic(err) // values of this type always encode
	}
	return File{Name: name, Data: append(data, '\n')}
}
