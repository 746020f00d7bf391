package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"

	"github.com/goldcrestmux/goldcrestmux/folder"
)

// IsFolderFile reports whether a file with this name belongs to a folder: its
// extension is .json or .jsonc and it is not hidden.
func IsFolderFile(name string) bool {
	extension := filepath.Ext(name)
	return (extension == ".json" || extension == ".jsonc") && !strings.HasPrefix(name, ".")
}

// ReadFolder reads the files of a folder in the order of their names. It skips
// subdirectories and other entries for which IsFolderFile is false, and returns
// their names in ignored.
func ReadFolder(dir string) (files []folder.File, ignored []string, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, nil, errors.Annotate(err, "read folder")
	}
	for _, e := range entries {
		if e.IsDir() || !IsFolderFile(e.Name()) {
			ignored = append(ignored, e.Name())
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, nil, errors.Annotate(err, "read folder")
		}
		files = append(files, folder.File{Name: e.Name(), Data: data})
	}
	return files, ignored, nil
}

// faultJSON is one fault in JSON output.
type faultJSON struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Problem string `json:"problem"`
	Allowed string `json:"allowed"`
}

// validateJSON is the JSON output of the validate command and of any command that
// is given a faulty folder.
type validateJSON struct {
	Valid       bool        `json:"valid"`
	Files       int         `json:"files"`
	Digest      string      `json:"digest"`
	Searches    int         `json:"searches"`
	Callers     int         `json:"callers"`
	DataCentres int         `json:"data_centres"`
	Targets     int         `json:"targets"`
	Faults      []faultJSON `json:"faults"`
}

// load reads and merges a folder. If the folder has faults, load prints them and
// returns errReported.
func (c *command) load(dir string) (*folder.Merged, []folder.File, error) {
	files, ignored, err := ReadFolder(dir)
	if err != nil {
		return nil, nil, err
	}
	for _, name := range ignored {
		fmt.Fprintf(c.stderr, "gcmuxctl: ignoring %s: not a .json or .jsonc file, or hidden\n", filepath.Join(dir, name))
	}
	if len(files) == 0 {
		return nil, nil, errors.Errorf("%s contains no .json or .jsonc file", dir)
	}
	merged, err := folder.Load(files)
	if err == nil {
		return merged, files, nil
	}
	var faulty *folder.FaultError
	if !errors.As(err, &faulty) {
		return nil, nil, errors.Trace(err)
	}
	if err := c.printFaults(faulty.Faults, files); err != nil {
		return nil, nil, err
	}
	return nil, nil, errReported
}

func (c *command) printFaults(faults []folder.Fault, files []folder.File) error {
	if c.json {
		result := validateJSON{Files: len(files), Digest: folder.Digest(files)}
		for _, f := range faults {
			result.Faults = append(result.Faults, faultJSON(f))
		}
		return c.printJSON(result)
	}
	for _, f := range faults {
		fmt.Fprintln(c.stderr, f)
	}
	fmt.Fprintf(c.stderr, "faulty: %d faults in %d files\n", len(faults), len(files))
	return nil
}

func (c *command) validate(_ context.Context, args []string) error {
	merged, files, err := c.load(args[0])
	if err != nil {
		return err
	}
	contracts := merged.Contracts
	result := validateJSON{
		Valid: true, Files: len(files), Digest: folder.Digest(files),
		Searches: len(contracts.Searches), Callers: len(contracts.Callers),
		DataCentres: len(contracts.DataCentres), Targets: len(contracts.Targets),
		Faults: []faultJSON{},
	}
	if c.json {
		return c.printJSON(result)
	}
	fmt.Fprintf(c.stdout, "valid: %d files with %d searches, %d callers, %d data centres, %d targets\ndigest: %s\n",
		result.Files, result.Searches, result.Callers, result.DataCentres, result.Targets, result.Digest)
	return nil
}

// fieldJSON is one value of a merged folder in JSON output. Origin is "file:line"
// or "default".
type fieldJSON struct {
	Path   string          `json:"path"`
	Value  json.RawMessage `json:"value"`
	Origin string          `json:"origin"`
}

func (c *command) merge(_ context.Context, args []string) error {
	merged, _, err := c.load(args[0])
	if err != nil {
		return err
	}
	fields := merged.Fields()
	if c.json {
		list := make([]fieldJSON, len(fields))
		for i, f := range fields {
			list[i] = fieldJSON{f.Path, json.RawMessage(f.Value), f.Origin.String()}
		}
		return c.printJSON(list)
	}
	for _, f := range fields {
		fmt.Fprintf(c.stdout, "%s = %s  (%s)\n", f.Path, f.Value, f.Origin)
	}
	return nil
}

// changeJSON is one change in JSON output. Before or After is null if the field is
// absent there.
type changeJSON struct {
	Path   string     `json:"path"`
	Before *valueJSON `json:"before"`
	After  *valueJSON `json:"after"`
}

// valueJSON is the value before or after a change.
type valueJSON struct {
	Value  json.RawMessage `json:"value"`
	Origin string          `json:"origin"`
}

func (c *command) diff(_ context.Context, args []string) error {
	before, _, err := c.load(args[0])
	if err != nil {
		return err
	}
	after, _, err := c.load(args[1])
	if err != nil {
		return err
	}
	changes := folder.Diff(before, after)
	if c.json {
		list := make([]changeJSON, len(changes))
		for i, change := range changes {
			list[i] = changeJSON{change.Path, changedValue(change.Before, change.BeforeOrigin), changedValue(change.After, change.AfterOrigin)}
		}
		return c.printJSON(list)
	}
	for _, change := range changes {
		c.printChange(change)
	}
	fmt.Fprintf(c.stdout, "%d changes\n", len(changes))
	return nil
}

// changedValue returns nil for an empty value, which means an absent field.
func changedValue(value string, origin folder.Origin) *valueJSON {
	if value == "" {
		return nil
	}
	return &valueJSON{json.RawMessage(value), origin.String()}
}

func (c *command) printChange(change folder.Change) {
	switch {
	case change.Before == "":
		fmt.Fprintf(c.stdout, "+ %s = %s  (%s)\n", change.Path, change.After, change.AfterOrigin)
	case change.After == "":
		fmt.Fprintf(c.stdout, "- %s = %s  (was %s)\n", change.Path, change.Before, change.BeforeOrigin)
	default:
		fmt.Fprintf(c.stdout, "~ %s = %s  (%s)  was %s  (%s)\n",
			change.Path, change.After, change.AfterOrigin, change.Before, change.BeforeOrigin)
	}
}
