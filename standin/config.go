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

// ConfigMode is how the configuration service behaves.
type ConfigMode string

// Modes of the configuration service.
const (
	ConfigUp    ConfigMode = "up"
	ConfigDown  ConfigMode = "down"  // connections break without an answer
	ConfigStale ConfigMode = "stale" // an old revision is served
	ConfigTorn  ConfigMode = "torn"  // files of another revision than the manifest's
)

// maxWatch bounds the time that a watch waits.
const maxWatch = time.Minute

// ConfigFault changes how the configuration service behaves.
type ConfigFault struct {
	Mode ConfigMode `json:"mode"`
	// Revision is the revision served while stale, or the one whose files are
	// served while torn; zero means the one before the latest.
	Revision uint64 `json:"revision,omitempty"`
	// DataCentres names the readers concerned; empty means all.
	DataCentres []string `json:"data_centres,omitempty"`
}

// ConfigCalls counts the calls to the configuration service. A watch counts once.
type ConfigCalls struct {
	Manifests uint64 `json:"manifests"`
	Watches   uint64 `json:"watches"`
	Files     uint64 `json:"files"`
	// PeakPerSecond is the largest number of calls in one second of the clock.
	PeakPerSecond uint64 `json:"peak_per_second"`
	Revision      uint64 `json:"revision"`
}

// revision is one state of the folder.
type revision struct {
	manifest platformapi.Manifest
	files    map[string][]byte
}

// configService serves revisions of the folder. It is safe for concurrent use.
type configService struct {
	mu        sync.Mutex
	revisions []revision // index 0 holds revision 1
	faults    map[string]ConfigFault
	changed   chan struct{} // closed at each change of revision or fault
	calls     ConfigCalls
	second    int64
	inSecond  uint64
}

// allReaders is the key of the fault that concerns every data centre.
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

// set makes a new revision of the whole folder and returns its number.
func (c *configService) set(files []File) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	contents := make(map[string][]byte, len(files))
	for _, f := range files {
		contents[f.Name] = f.Data
	}
	return c.push(contents)
}

// change makes a new revision with one file put or, if data is nil, removed.
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
	return c.push(contents)
}

func (c *configService) push(files map[string][]byte) uint64 {
	number := uint64(len(c.revisions)) + 1
	manifest := platformapi.Manifest{Revision: number}
	for name, data := range files {
		manifest.Files = append(manifest.Files, platformapi.ManifestFile{Name: name, SHA256: hash(data)})
	}
	slices.SortFunc(manifest.Files, func(a, b platformapi.ManifestFile) int { return cmp.Compare(a.Name, b.Name) })
	c.revisions = append(c.revisions, revision{manifest: manifest, files: files})
	c.wake()
	return number
}

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
	c.wake()
}

func (c *configService) wake() {
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

func (c *configService) count(counter *uint64) {
	*counter++
	if now := time.Now().Unix(); now != c.second {
		c.second, c.inSecond = now, 0
	}
	c.inSecond++
	c.calls.PeakPerSecond = max(c.calls.PeakPerSecond, c.inSecond)
}

// view returns the manifest and the files that a reader sees now, and the
// channel that is closed at the next change. It reports false while down.
func (c *configService) view(dataCentre string) (platformapi.Manifest, map[string][]byte, <-chan struct{}, bool) {
	fault, ok := c.faults[dataCentre]
	if !ok {
		fault = c.faults[allReaders]
	}
	latest := len(c.revisions)
	if fault.Mode == ConfigDown || latest == 0 {
		return platformapi.Manifest{}, nil, c.changed, false
	}
	old := int(fault.Revision)
	if old == 0 || old > latest {
		old = max(1, latest-1)
	}
	now, before := c.revisions[latest-1], c.revisions[old-1]
	switch fault.Mode {
	case ConfigStale:
		return before.manifest, before.files, c.changed, true
	case ConfigTorn:
		return now.manifest, before.files, c.changed, true
	default:
		return now.manifest, now.files, c.changed, true
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
	timeout := time.NewTimer(min(wait, maxWatch))
	defer timeout.Stop()
	for {
		c.mu.Lock()
		manifest, _, changed, up := c.view(dc)
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
	_, files, _, up := c.view(r.Header.Get(platformapi.HeaderDataCentre))
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
