package scenario

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/goldcrestmux/goldcrestmux/operator"
)

// stateTimeout bounds a request for the state of a process.
const stateTimeout = 2 * time.Second

// expectation is a comparison that must hold for a document.
type expectation struct {
	document, path, op, value string
}

func parseExpectation(args []string) (expectation, error) {
	if len(args) != 4 {
		return expectation{}, errUsage
	}
	return expectation{document: args[0], path: args[1], op: args[2], value: args[3]}, nil
}

func (s *script) expect(_ *testscript.TestScript, args []string) error {
	e, err := parseExpectation(args)
	if err != nil {
		return err
	}
	return s.check(e)
}

func (s *script) await(_ *testscript.TestScript, args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	timeout, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	e, err := parseExpectation(args[1:])
	if err != nil {
		return err
	}
	return poll(timeout, func() error { return s.check(e) })
}

// check returns an error unless the expectation holds now.
func (s *script) check(e expectation) error {
	docs, err := s.documents(e.document)
	if err != nil {
		return err
	}
	for _, doc := range docs {
		if err := s.checkDocument(e, doc, docs[0]); err != nil {
			return err
		}
	}
	return nil
}

func (s *script) checkDocument(e expectation, doc, first any) error {
	want, err := s.value(e.value, doc, first)
	if err != nil {
		return err
	}
	got := lookup(doc, e.path)
	if len(got) == 0 {
		got = []any{0.0}
	}
	for _, v := range got {
		holds, err := compare(formatValue(v), e.op, want)
		if err != nil {
			return err
		}
		if !holds {
			return errors.Errorf("%s: %s is %s, want %s %s", e.document, e.path, formatValue(v), e.op, want)
		}
	}
	return nil
}

// value returns the right-hand side of a comparison: a mark (@NAME), a path in doc
// (.PATH) or in the first document (^PATH), or a literal.
func (s *script) value(text string, doc, first any) (string, error) {
	if name, ok := strings.CutPrefix(text, "@"); ok {
		at, ok := s.marks[name]
		if !ok {
			return "", errors.NotFoundf("mark %q", name)
		}
		return at.Format(time.RFC3339Nano), nil
	}
	path, inFirst := strings.CutPrefix(text, "^")
	if inFirst {
		doc, text = first, "."+path
	}
	if path, ok := strings.CutPrefix(text, "."); ok {
		if found := lookup(doc, path); len(found) > 0 {
			return formatValue(found[0]), nil
		}
		return "0", nil
	}
	return text, nil
}

// documents returns the JSON documents that a name selects.
func (s *script) documents(name string) ([]any, error) {
	kind, selector, _ := strings.Cut(name, ":")
	if kind == "state" {
		return s.states(selector)
	}
	kind, mark, _ := strings.Cut(name, "@")
	switch kind {
	case "load":
		report, err := s.load.wait()
		return asDocument(report, err)
	case "ledger":
		summary, err := s.tier.admin.Ledger(context.Background(), s.marks[mark])
		return asDocument(summary, err)
	default:
		return nil, errors.NotValidf("document %q", name)
	}
}

func asDocument(value any, err error) ([]any, error) {
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(value)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var doc any
	if err := json.Unmarshal(data, &doc); err != nil {
		return nil, errors.Trace(err)
	}
	return []any{doc}, nil
}

// states returns the state pages of the processes that a name selects.
func (s *script) states(selector string) ([]any, error) {
	selected, err := s.tier.selectProcesses(selector)
	if err != nil {
		return nil, err
	}
	client := http.Client{Timeout: stateTimeout}
	var docs []any
	for _, p := range selected {
		address, err := p.Address(listenOperator)
		if err != nil {
			return nil, err
		}
		resp, err := client.Get("http://" + address + operator.PathState)
		if err != nil {
			return nil, errors.Annotatef(err, "get state of %s", p.Name())
		}
		var doc any
		err = json.NewDecoder(resp.Body).Decode(&doc)
		_ = resp.Body.Close()
		if err != nil {
			return nil, errors.Annotatef(err, "decode state of %s", p.Name())
		}
		docs = append(docs, doc)
	}
	return docs, nil
}
