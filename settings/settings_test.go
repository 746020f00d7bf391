package settings

import (
	"bytes"
	"cmp"
	"flag"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/goldcrestmux/goldcrestmux/wire"
)

const validText = `{
  "vm": "vm1", "data_centre": "bne", "region": "qld", // where it runs
  "folder_url": ["http://127.0.0.1:7000/", "http://127.0.0.1:7001"],
  "vm_list_url": "http://127.0.0.1:7000",
  "stop_timeout": "10s",
  "heartbeat": "250ms",
}`

// parseFileAndArgs parses the settings of a program from args and from a file with
// the given text. It returns the text of the error with the path shortened.
func parseFileAndArgs(t *testing.T, program, text string, args ...string) (*Settings, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := Parse(program, append([]string{"-config", path}, args...), nil)
	if err != nil {
		return nil, strings.ReplaceAll(err.Error(), path, "settings.jsonc") + "\n"
	}
	return s, ""
}

func TestPrecedence(t *testing.T) {
	t.Setenv("GCMUX_STOP_TIMEOUT", "20s")
	t.Setenv("GCMUX_HEARTBEAT", "300ms")
	s, fault := parseFileAndArgs(t, "gcmux-relay", validText, "-heartbeat", "350ms", "-permits=per-vm", "-log-format", "json")
	if fault != "" {
		t.Fatal(fault)
	}
	if s.VM != "vm1" || s.StopTimeout != 20*time.Second || s.HeartbeatInterval != 350*time.Millisecond ||
		s.Permits != PermitsPerVM || s.Peers != 4 || len(s.FolderURLs) != 2 || s.FolderURLs[0] != "http://127.0.0.1:7000" {
		t.Errorf("settings do not follow the precedence of flags, environment, file and defaults: %+v", s)
	}
	var b bytes.Buffer
	logger, level := s.Logger(&b)
	logger.Debug("hidden")
	level.Set(slog.LevelDebug)
	logger.Debug("shown")
	if got := b.String(); strings.Contains(got, "hidden") || !strings.Contains(got, `"msg":"shown","role":"relay"`) {
		t.Errorf("log output %s, want one JSON line that was logged after the level was lowered", got)
	}
}

func TestFaults(t *testing.T) {
	t.Setenv("GCMUX_PEERS", "many")
	cases := []struct {
		name, program, text string
		args                []string
	}{
		{"values", "gcmux-gateway", `{
  "vm": "vm 1", "data_centre": 7, "region": null, "folder_url": "http://127.0.0.1:7000",
  "vm_list_url": "127.0.0.1:7000", "heartbeat": "5", "heartbeet": "5s",
  "log_level": "loud", "api_listen": "localhost:80", "hedging": "never",
  "concurrency": "10", "queue_length": -1, "queue_length": 2.5, "workers": 4}`, nil},
		{"intervals", "gcmux-relay", validText, []string{"-peers=4", "-fencing-delay=2s", "-vm-list-poll=2s"}},
		{"syntax", "gcmux-relay", "{\n\"vm\" 1}", []string{"-peers=4"}},
		{"flag", "gcmux-relay", validText, []string{"-peers=4", "-api-listen=127.0.0.1:1"}},
		{"argument", "gcmux-relay", validText, []string{"-peers=4", "start"}},
		{"file", "gcmux-relay", validText, []string{"-peers=4", "-config=no-such-file.jsonc"}},
	}
	var b strings.Builder
	for _, c := range cases {
		_, fault := parseFileAndArgs(t, c.program, c.text, c.args...)
		b.WriteString("# " + c.name + "\n" + fault)
	}
	goldie.New(t).Assert(t, "faults", []byte(b.String()))
}

func TestHelp(t *testing.T) {
	for _, program := range []string{"gcmux-gateway", "gcmux-relay"} {
		var b bytes.Buffer
		if _, err := Parse(program, []string{"--help"}, &b); err != flag.ErrHelp {
			t.Errorf("%s --help returned %v, want flag.ErrHelp", program, err)
		}
		goldie.New(t).Assert(t, program, b.Bytes())
	}
}

// TestDocumentation checks that the reference page lists each setting with its
// default value, and that the example settings files are valid.
func TestDocumentation(t *testing.T) {
	page, err := os.ReadFile("../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	_, reference, _ := strings.Cut(string(page), "## The settings of a process")
	for _, role := range []string{"gateway", "relay"} {
		if _, err := Parse("gcmux-"+role, []string{"-config", "../examples/settings/" + role + ".jsonc"}, nil); err != nil {
			t.Error(err)
		}
		for _, o := range newParser(role, &Settings{Role: wire.Role(role)}).options {
			row := regexp.MustCompile(`(?m)^\| ` + "`" + o.fileKey() + "` .*$").FindString(reference)
			if value := cmp.Or(o.defaultText, "required"); !strings.Contains(row, value) {
				t.Errorf("the row of the reference page lacks the default %s of %s: %q", value, o.fileKey(), row)
			}
		}
	}
}
