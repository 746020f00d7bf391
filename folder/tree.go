package folder

import (
	"fmt"
	"regexp"
	"sort"
	"strconv"

	"github.com/tailscale/hujson"
)

// Origin is the place that set a value. The zero Origin stands for a default.
type Origin struct {
	File string
	Line int
}

// String returns "file:line", or "default" for the zero Origin.
func (o Origin) String() string {
	if o.File == "" {
		return "default"
	}
	return o.File + ":" + strconv.Itoa(o.Line)
}

// kind is the JSON kind of a node.
type kind byte

const (
	kindNull   kind = 'n'
	kindTrue   kind = 't'
	kindFalse  kind = 'f'
	kindString kind = '"'
	kindNumber kind = '0'
	kindObject kind = '{'
	kindArray  kind = '['
)

// String returns the kind with its article.
func (k kind) String() string {
	switch k {
	case kindNull:
		return "null"
	case kindTrue, kindFalse:
		return "a boolean"
	case kindString:
		return "a string"
	case kindNumber:
		return "a number"
	case kindObject:
		return "an object"
	default:
		return "a list"
	}
}

// node is a JSON value together with its origin.
type node struct {
	kind   kind
	origin Origin
	// text is the unquoted content of a string, or the literal of a number.
	text string
	// members holds an object's values by key.
	members map[string]*node
	// items holds an array's values.
	items []*node
}

// parser turns one file into a tree of nodes and collects its faults.
type parser struct {
	file   File
	lines  []int // offsets at which lines start
	faults []Fault
}

// hujsonLine finds the line in the text of a syntax error of the hujson package.
var hujsonLine = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

// parse returns the file's top-level object, or nil if the file can't be read as one.
func (p *parser) parse() *node {
	if len(p.file.Data) > MaxFileBytes {
		p.fault(1, "", fmt.Sprintf("the file has %d bytes", len(p.file.Data)),
			fmt.Sprintf("at most %d bytes", MaxFileBytes))
		return nil
	}
	value, err := hujson.Parse(p.file.Data)
	if err != nil {
		p.syntaxFault(err)
		return nil
	}
	p.indexLines()
	root := p.node(value, "")
	if root.kind != kindObject {
		p.fault(root.origin.Line, "", "the file holds "+root.kind.String(), "one object")
		return nil
	}
	return root
}

func (p *parser) syntaxFault(err error) {
	line, text := 1, err.Error()
	if m := hujsonLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = "column " + m[2] + ": " + text[len(m[0]):]
	}
	p.fault(line, "", text, "JSON with comments and trailing commas")
}

func (p *parser) fault(line int, field, problem, allowed string) {
	p.faults = append(p.faults, Fault{p.file.Name, line, field, problem, allowed})
}

func (p *parser) indexLines() {
	p.lines = []int{0}
	for i, c := range p.file.Data {
		if c == '\n' {
			p.lines = append(p.lines, i+1)
		}
	}
}

// line returns the number of the line that holds the byte at offset.
func (p *parser) line(offset int) int {
	return sort.SearchInts(p.lines, offset+1)
}

func (p *parser) node(v hujson.Value, path string) *node {
	n := &node{
		kind:   kind(v.Value.Kind()),
		origin: Origin{p.file.Name, p.line(v.StartOffset)},
	}
	switch value := v.Value.(type) {
	case hujson.Literal:
		n.text = value.String()
	case *hujson.Object:
		n.members = make(map[string]*node, len(value.Members))
		for _, m := range value.Members {
			p.member(n, m, path)
		}
	case *hujson.Array:
		for i, e := range value.Elements {
			n.items = append(n.items, p.node(e, indexed(path, i)))
		}
	}
	return n
}

func (p *parser) member(object *node, m hujson.ObjectMember, path string) {
	name := m.Name.Value.(hujson.Literal).String()
	field := joined(path, name)
	if first, ok := object.members[name]; ok {
		p.fault(p.line(m.Name.StartOffset), field,
			fmt.Sprintf("the key stands twice, first in line %d", first.origin.Line),
			"each key once in an object")
	}
	object.members[name] = p.node(m.Value, field)
}

func joined(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func indexed(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}

// merge lays over upon base: objects deeply, everything else replaced. A null
// replaces too and stays as the mark of a deletion, so that a fault which
// follows from it can name its place.
func (p *parser) merge(base, over *node, path string) *node {
	if base == nil || base.kind == kindNull {
		p.checkNulls(over, path)
		return over
	}
	if base.kind != kindObject || over.kind != kindObject {
		p.checkInner(over, path)
		return over
	}
	for name, n := range over.members {
		base.members[name] = p.merge(base.members[name], n, joined(path, name))
	}
	return base
}

// checkNulls reports each null in n, since nothing is there to delete.
func (p *parser) checkNulls(n *node, path string) {
	if n.kind == kindNull {
		p.fault(n.origin.Line, path, "null deletes a value that no earlier file sets",
			"null for a value of a file earlier in the order of names")
		return
	}
	p.checkInner(n, path)
}

func (p *parser) checkInner(n *node, path string) {
	for name, m := range n.members {
		p.checkNulls(m, joined(path, name))
	}
}
