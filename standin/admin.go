package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"
)

const adminTimeout = 10 * time.Second

// AdminClient is a client of the admin API. Methods are safe for concurrent use.
type AdminClient struct {
	address string
	client  http.Client
}

// NewAdminClient returns a client of the admin API at address, a host and port.
func NewAdminClient(address string) *AdminClient {
	return &AdminClient{address: address, client: http.Client{Timeout: adminTimeout}}
}

// Layout returns the layout that the stand-in serves.
func (a *AdminClient) Layout(ctx context.Context) (Layout, error) {
	var out Layout
	return out, a.get(ctx, pathLayout, &out)
}

// Ledger returns the summary of the ledger. StartedSince counts from the given
// time, or from the beginning if it is zero.
func (a *AdminClient) Ledger(ctx context.Context, since time.Time) (Summary, error) {
	path := pathLedger
	if !since.IsZero() {
		path += "?since=" + url.QueryEscape(since.Format(time.RFC3339Nano))
	}
	var out Summary
	return out, a.get(ctx, path, &out)
}

// Target returns the counters and the recorded executions of one target.
func (a *AdminClient) Target(ctx context.Context, name string) (TargetDetail, error) {
	var out TargetDetail
	return out, a.get(ctx, strings.Replace(pathTarget, ":target", url.PathEscape(name), 1), &out)
}

// ActionRuns returns how often each of the actions ran.
func (a *AdminClient) ActionRuns(ctx context.Context, actions []string) ([]ActionRuns, error) {
	var out ActionsResponse
	err := a.post(ctx, pathActions, ActionsAsk{Actions: actions}, &out)
	return out.Runs, err
}

// ChangeTargets changes targets and returns the number that the change selects.
func (a *AdminClient) ChangeTargets(ctx context.Context, c TargetChange) (int, error) {
	var out TargetsChanged
	err := a.post(ctx, pathTargets, c, &out)
	return out.Targets, err
}

// PutFile adds or replaces one file of the folder and returns the new revision.
func (a *AdminClient) PutFile(ctx context.Context, name string, data []byte) (uint64, error) {
	return a.ChangeFolder(ctx, FolderChange{Put: []File{{Name: name, Data: data}}})
}

// RemoveFile removes one file from the folder and returns the new revision.
func (a *AdminClient) RemoveFile(ctx context.Context, name string) (uint64, error) {
	return a.ChangeFolder(ctx, FolderChange{Remove: []string{name}})
}

// ChangeFolder changes the folder and returns the new revision.
func (a *AdminClient) ChangeFolder(ctx context.Context, c FolderChange) (uint64, error) {
	var out FolderRevision
	err := a.post(ctx, pathFolder, c, &out)
	return out.Revision, err
}

// SetConfigFault sets a fault of the configuration service.
func (a *AdminClient) SetConfigFault(ctx context.Context, f ConfigFault) error {
	return a.post(ctx, pathConfig, f, &emptyResponse{})
}

// SetVMs changes the VM list.
func (a *AdminClient) SetVMs(ctx context.Context, c VMsChange) error {
	return a.post(ctx, pathVMs, c, &emptyResponse{})
}

// SetCables sets the mode of cables.
func (a *AdminClient) SetCables(ctx context.Context, c CableChange) error {
	return a.post(ctx, pathCables, c, &emptyResponse{})
}

func (a *AdminClient) get(ctx context.Context, path string, out any) error {
	return a.do(ctx, http.MethodGet, path, nil, out)
}

func (a *AdminClient) post(ctx context.Context, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Trace(err)
	}
	return a.do(ctx, http.MethodPost, path, bytes.NewReader(body), out)
}

func (a *AdminClient) do(ctx context.Context, method, path string, body io.Reader, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.address+path, body)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := a.client.Do(req)
	if err != nil {
		return errors.Annotate(err, "send request to stand-in")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return errors.Errorf("stand-in responded with status %d to %s: %s", resp.StatusCode, path, bytes.TrimSpace(text))
	}
	return errors.Trace(json.NewDecoder(resp.Body).Decode(out))
}
