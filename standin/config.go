package standin

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"

	"github.com/goldcrestmux/goldcrestmux/platformapi"
)

// ConfigMode selects how the configuration service responds.
type ConfigMode string

// Modes of the configuration service.
const (
	ConfigUp    ConfigMode = "up"
	ConfigDown  ConfigMode = "down"  // connections are closed without a response
	ConfigStale ConfigMode = "stale" // an old revision is served
	ConfigTorn  ConfigMode = "torn"  // the files are of another revision than the manifest
)

// maxWatchWait is the maximum time that a watch waits for a new revision.
const maxWatchWait = time.Minute

// ConfigFault sets the mode of the configuration service.
type ConfigFault struct {
	Mode ConfigMode `json:"mode"`
	// Revision is the revision served in ConfigStale, or the one whose files are
	// served in ConfigTorn; zero means the one before the latest.
	Revision uint64 `json:"revision,omitempty"`
	// DataCentres names the data centres of the affected readers; empty means all.
	DataCentres []string `json:"data_centres,omitempty"`
}

// ConfigCalls counts the requests to the configuration service. A watch counts
// once.
type ConfigCalls struct {
	Manifests uint64 `json:"manifests"`
	Watches   uint64 `json:"watches"`
	Files     uint64 `json:"files"`
	// PeakPerSecond is the maximum number of requests in a second of the clock.
	PeakPerSecond uint64 `json:"peak_per_second"`
	Revision      uint64 `json:"revision"`
}

// revision is one revision of the folder.
type revision struct {
	manifest platformapi.Manifest
	files    map[string][]byte
}

// configService serves revisions of the folder. Methods are safe for concurrent use.
type configService struct {
	mu            sync.Mutex
	revisions     []revision // index 0 holds revision 1
	faults        map[string]ConfigFault
	changed       chan struct{} // closed and replaced at each change of revision or fault
	calls         ConfigCalls
	second        int64 // Unix time of the second that callsInSecond counts
	callsInSecond uint64
}

// allReaders is the key of the fault that applies to data centres without a fault of
// their own.
const allReaders = ""

func newConfigService() *configService {
	return &configService{faults: make(map[string]ConfigFault), changed: make(chan struct{})}
}

func (c *configService) handler() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Get(platformapi.PathManifest), c.serveManifest)
	mux.HandleFunc(pat.Get(platformapi.PathFile+":name"), c.serveFile)
	return mux
}

// replace creates a revision with the given files only and returns its number.
func (c *configService) replace(files []File) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	contents := make(map[string][]byte, len(files))
	for _, f := range files {
		contents[f.Name] = f.Data
	}
	return c.addRevision(contents)
}

// change creates a revision in which one file has the given data or, if data is nil,
// is removed. It returns the revision's number.
func (c *configService) change(name string, data []byte) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	contents := make(map[string][]byte)
	if n := len(c.revisions); n > 0 {
		for k, v := range c.revisions[n-1].files {
			contents[k] = v
		}
	}
	if data == nil {
		delete(contents, name)
	} else {
		contents[name] = data
	}
	return c.addRevision(contents)
}

// addRevision adds a revision with the files and returns its number. c.mu must be
// held.
func (c *configService) addRevision(files map[string][]byte) uint64 {
	number := uint64(len(c.revisions)) + 1
	manifest := platformapi.Manifest{Revision: number}
	for name, data := range files {
		manifest.Files = append(manifest.Files, platformapi.ManifestFile{Name: name, SHA256: hash(data)})
	}
	slices.SortFunc(manifest.Files, func(a, b platformapi.ManifestFile) int { return cmp.Compare(a.Name, b.Name) })
	c.revisions = append(c.revisions, revision{manifest: manifest, files: files})
	c.notifyWatchers()
	return number
}

// setFault sets a fault of some data centres. A fault of all readers replaces the
// faults of single data centres.
func (c *configService) setFault(f ConfigFault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	readers := f.DataCentres
	if len(readers) == 0 {
		clear(c.faults)
		readers = []string{allReaders}
	}
	for _, dc := range readers {
		c.faults[dc] = f
	}
	c.notifyWatchers()
}

// notifyWatchers wakes all watches. c.mu must be held.
func (c *configService) notifyWatchers() {
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *configService) stats() ConfigCalls {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := c.calls
	calls.Revision = uint64(len(c.revisions))
	return calls
}

// count counts one request. c.mu must be held.
func (c *configService) count(counter *uint64) {
	*counter++
	if now := time.Now().Unix(); now != c.second {
		c.second, c.callsInSecond = now, 0
	}
	c.callsInSecond++
	c.calls.PeakPerSecond = max(c.calls.PeakPerSecond, c.callsInSecond)
}

// current returns the manifest and the files for readers in the data centre, and a
// channel that is closed at the next change. It reports false if the service does
// not respond to them. c.mu must be held.
func (c *configService) current(dataCentre string) (platformapi.Manifest, map[string][]byte, <-chan struct{}, bool) {
	fault, ok := c.faults[dataCentre]
	if !ok {
		fault = c.faults[allReaders]
	}
	latest := len(c.revisions)
	if fault.Mode == ConfigDown || latest == 0 {
		return platformapi.Manifest{}, nil, c.changed, false
	}
	number := int(fault.Revision)
	if number == 0 || number > latest {
		number = max(1, latest-1)
	}
	newest, old := c.revisions[latest-1], c.revisions[number-1]
	switch fault.Mode {
	case ConfigStale:
		return old.manifest, old.files, c.changed, true
	case ConfigTorn:
		return newest.manifest, old.files, c.changed, true
	default:
		return newest.manifest, newest.files, c.changed, true
	}
}

func (c *configService) serveManifest(w http.ResponseWriter, r *http.Request) {
	dc := r.Header.Get(platformapi.HeaderDataCentre)
	after, err := parseAfter(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	c.mu.Lock()
	counter := &c.calls.Manifests
	if wait > 0 {
		counter = &c.calls.Watches
	}
	c.count(counter)
	c.mu.Unlock()
	timeout := time.NewTimer(min(wait, maxWatchWait))
	defer timeout.Stop()
	for {
		c.mu.Lock()
		manifest, _, changed, up := c.current(dc)
		c.mu.Unlock()
		if !up {
			panic(http.ErrAbortHandler)
		}
		if manifest.Revision > after {
			writeJSON(w, http.StatusOK, manifest)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (c *configService) serveFile(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.count(&c.calls.Files)
	_, files, _, up := c.current(r.Header.Get(platformapi.HeaderDataCentre))
	c.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	data, ok := files[pat.Param(r, "name")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set(platformapi.HeaderSHA256, hash(data))
	_, _ = w.Write(data)
}

func parseAfter(r *http.Request) (uint64, error) {
	text := r.URL.Query().Get("after")
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
