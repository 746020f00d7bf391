package platformapi

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Bounds on the responses of the platform's services.
const (
	MaxValueBytes  = 1 << 20 // of a manifest, a file or a VM list
	DefaultTimeout = 2 * time.Second
)

// UnavailableError reports that a service of the platform could not be reached or
// that its response was not usable.
type UnavailableError struct {
	Op  string // the operation, such as "GET /v1/vms"
	Err error
}

// Error returns the operation and the cause.
func (e *UnavailableError) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// TornReadError reports that a file's content does not have the hash that the
// manifest gives: the service's revision changed between the two reads.
type TornReadError struct {
	Name string
	Want string // SHA-256 in hex
	Got  string // SHA-256 in hex; empty if there is no such file
}

// Error names the file and both hashes.
func (e *TornReadError) Error() string {
	return fmt.Sprintf("file %s has hash %q, the manifest says %q", e.Name, e.Got, e.Want)
}

// ClientOptions configures a client of one of the platform's services.
type ClientOptions struct {
	// Address is the service's host and port.
	Address string
	// DataCentre is the data centre of the client.
	DataCentre string
	// Timeout bounds each call. A watch may take this long in addition to its
	// wait. Zero means DefaultTimeout.
	Timeout time.Duration
}

// client reads values of at most MaxValueBytes over HTTP.
type client struct {
	options ClientOptions
	http    http.Client
}

func newClient(o ClientOptions) client {
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	return client{options: o, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// get returns the status and the body of the response to a GET request. Any
// failure, including a status of 500 or above, is an *UnavailableError. wait is
// added to the timeout.
func (c *client) get(ctx context.Context, path string, query url.Values, wait time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout+wait)
	defer cancel()
	u := url.URL{Scheme: "http", Host: c.options.Address, Path: path, RawQuery: query.Encode()}
	fail := func(err error) (int, []byte, error) {
		return 0, nil, &UnavailableError{Op: "GET " + path, Err: errors.Trace(err)}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return fail(err)
	}
	req.Header.Set(HeaderDataCentre, c.options.DataCentre)
	resp, err := c.http.Do(req)
	if err != nil {
		return fail(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	switch {
	case err != nil:
		return fail(err)
	case len(body) > MaxValueBytes:
		return fail(errors.Errorf("value exceeds %d bytes", MaxValueBytes))
	case resp.StatusCode >= http.StatusInternalServerError:
		return fail(errors.Errorf("status %d", resp.StatusCode))
	}
	return resp.StatusCode, body, nil
}

// ConfigClient reads the configuration service. It is safe for concurrent use. All
// its methods return an *UnavailableError if the service cannot be read.
type ConfigClient struct {
	client client
}

// NewConfigClient returns a client of the configuration service.
func NewConfigClient(o ClientOptions) *ConfigClient {
	return &ConfigClient{client: newClient(o)}
}

// Manifest returns the manifest of the service's current revision.
func (c *ConfigClient) Manifest(ctx context.Context) (Manifest, error) {
	m, _, err := c.manifest(ctx, nil, 0)
	return m, err
}

// Watch waits until the service's revision is above after. It returns the
// manifest and true, or false if the revision is not above after within wait.
func (c *ConfigClient) Watch(ctx context.Context, after uint64, wait time.Duration) (Manifest, bool, error) {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	return c.manifest(ctx, query, wait)
}

func (c *ConfigClient) manifest(ctx context.Context, query url.Values, wait time.Duration) (Manifest, bool, error) {
	status, body, err := c.client.get(ctx, PathManifest, query, wait)
	if err != nil {
		return Manifest{}, false, err
	}
	if status == http.StatusNoContent {
		return Manifest{}, false, nil
	}
	var m Manifest
	if err := decodeValue(PathManifest, status, body, &m); err != nil {
		return Manifest{}, false, err
	}
	return m, true, nil
}

// File returns the content of a file of a manifest. It returns a *TornReadError
// if the file has changed in the service since the manifest or no longer exists.
func (c *ConfigClient) File(ctx context.Context, f ManifestFile) ([]byte, error) {
	status, body, err := c.client.get(ctx, PathFile+f.Name, nil, 0)
	if err != nil {
		return nil, err
	}
	if status == http.StatusNotFound {
		return nil, &TornReadError{Name: f.Name, Want: f.SHA256}
	}
	if status != http.StatusOK {
		return nil, &UnavailableError{Op: "GET " + PathFile + f.Name, Err: errors.Errorf("status %d", status)}
	}
	sum := sha256.Sum256(body)
	if got := hex.EncodeToString(sum[:]); got != f.SHA256 {
		return nil, &TornReadError{Name: f.Name, Want: f.SHA256, Got: got}
	}
	return body, nil
}

// VMListClient reads the platform's VM list. It is safe for concurrent use. An
// unchanged list is not transferred again.
type VMListClient struct {
	client client

	mu   sync.Mutex
	last VMList
}

// NewVMListClient returns a client of the VM list.
func NewVMListClient(o ClientOptions) *VMListClient {
	return &VMListClient{client: newClient(o)}
}

// List returns the platform's current list, which must not be changed. It returns
// an *UnavailableError if the service cannot be read.
func (v *VMListClient) List(ctx context.Context) (VMList, error) {
	v.mu.Lock()
	last := v.last
	v.mu.Unlock()
	query := url.Values{"from": {v.client.options.DataCentre}}
	if last.Sequence > 0 {
		query.Set("known", strconv.FormatUint(last.Sequence, 10))
	}
	status, body, err := v.client.get(ctx, PathVMs, query, 0)
	if err != nil {
		return VMList{}, err
	}
	if status == http.StatusNoContent && last.Sequence > 0 {
		return last, nil
	}
	var list VMList
	if err := decodeValue(PathVMs, status, body, &list); err != nil {
		return VMList{}, err
	}
	v.mu.Lock()
	v.last = list
	v.mu.Unlock()
	return list, nil
}

// decodeValue decodes the body of a response with status 200 into value.
func decodeValue(path string, status int, body []byte, value any) error {
	if status != http.StatusOK {
		return &UnavailableError{Op: "GET " + path, Err: errors.Errorf("status %d", status)}
	}
	if err := json.Unmarshal(body, value); err != nil {
		return &UnavailableError{Op: "decode " + path, Err: err}
	}
	return nil
}
