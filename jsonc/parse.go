package jsonc

import (
	"bytes"
	"fmt"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// parser parses one file into a tree of nodes and collects its faults.
type parser struct {
	file   string
	data   []byte
	lines  []int    // offsets of the starts of lines
	path   []string // object keys from the root to the current value
	faults []Fault
}

// hujsonPosition matches the line and column in the text of a syntax error of the
// hujson package.
var hujsonPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): `)

// Parse parses data, the content of the named file. It returns the top-level
// object and all faults. The object is nil if data is not valid or is not an
// object.
func Parse(file string, data []byte) (*Node, []Fault) {
	p := &parser{file: file, data: data}
	root := p.parse()
	return root, p.faults
}

// parse returns the top-level object, or nil if the data is not valid or is not an
// object.
func (p *parser) parse() *Node {
	if offset := findExcessDepth(p.data); offset >= 0 {
		p.indexLines()
		p.fault(p.line(offset), "", "a value is nested too deeply",
			fmt.Sprintf("at most %d nested objects and lists", MaxDepth))
		return nil
	}
	value, err := hujson.Parse(p.data)
	if err != nil {
		p.syntaxFault(err)
		return nil
	}
	p.indexLines()
	root := p.node(value)
	if root.Kind != Object {
		p.fault(root.Origin.Line, "", "the file holds "+root.Kind.String(), "one object")
		return nil
	}
	return root
}

func (p *parser) syntaxFault(err error) {
	line, text := 1, err.Error()
	if m := hujsonPosition.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = "column " + m[2] + ": " + text[len(m[0]):]
	}
	p.fault(line, "", text, "JSON with comments and trailing commas")
}

func (p *parser) fault(line int, field, problem, allowed string) {
	p.faults = append(p.faults, Fault{p.file, line, field, problem, allowed})
}

func (p *parser) indexLines() {
	p.lines = []int{0}
	for i, c := range p.data {
		if c == '\n' {
			p.lines = append(p.lines, i+1)
		}
	}
}

// line returns the number of the line that holds the byte at offset.
func (p *parser) line(offset int) int {
	return sort.SearchInts(p.lines, offset+1)
}

func (p *parser) node(v hujson.Value) *Node {
	n := &Node{
		Kind:   Kind(v.Value.Kind()),
		Origin: Origin{p.file, p.line(v.StartOffset)},
	}
	switch value := v.Value.(type) {
	case hujson.Literal:
		n.Text = literalText(value)
	case *hujson.Object:
		n.Members = make(map[string]*Node, len(value.Members))
		for _, m := range value.Members {
			p.addMember(n, m)
		}
	case *hujson.Array:
		for _, e := range value.Elements {
			n.Items = append(n.Items, p.node(e))
		}
	}
	return n
}

// literalText returns value.String(). It is faster for strings without escapes.
func literalText(value hujson.Literal) string {
	if value[0] != '"' || bytes.IndexByte(value, '\\') >= 0 || !utf8.Valid(value) {
		return value.String()
	}
	return string(value[1 : len(value)-1])
}

func (p *parser) addMember(object *Node, m hujson.ObjectMember) {
	name := literalText(m.Name.Value.(hujson.Literal))
	p.path = append(p.path, name)
	if first, ok := object.Members[name]; ok {
		p.fault(p.line(m.Name.StartOffset), strings.Join(p.path, "."),
			fmt.Sprintf("the key is a duplicate, first set on line %d", first.Origin.Line),
			"each key once in an object")
	}
	object.Members[name] = p.node(m.Value)
	p.path = p.path[:len(p.path)-1]
}

// MemberPath returns the path of a member of the object at path.
func MemberPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// ItemPath returns the path of an item of the array at path.
func ItemPath(path string, i int) string {
	return fmt.Sprintf("%s[%d]", path, i)
}
