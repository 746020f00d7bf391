package folder

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/goldcrestmux/goldcrestmux/jsonc"
)

// Field is one value of the merged folder and the place that set it.
type Field struct {
	// Path names the field, such as "searches.judges.deadline".
	Path string
	// Value is the value in JSON.
	Value  string
	Origin Origin
}

// decoder turns the merged tree into contracts. It collects faults, and fields
// if recording is true.
type decoder struct {
	faults     []Fault
	references []reference
	recording  bool
	fields     []Field
	// incomplete is true if a file could not be read. Absent values and unknown
	// names are then not reported, since that file may define them.
	incomplete bool
}

// reference is the use of a name that another part of the folder must define.
type reference struct {
	kind  string
	name  string
	path  string
	index int // in the list at path, or noIndex
	node  *jsonc.Node
}

// noIndex is the index of a reference outside of a list.
const noIndex = -1

// field returns the path of the reference.
func (r reference) field() string {
	if r.index == noIndex {
		return r.path
	}
	return jsonc.ItemPath(r.path, r.index)
}

func (d *decoder) fault(o Origin, field, problem, allowed string) {
	d.faults = append(d.faults, o.Fault(field, problem, allowed))
}

func (d *decoder) record(path string, value any, o Origin) {
	d.fields = append(d.fields, Field{Path: path, Value: format(value), Origin: o})
}

func (d *decoder) refer(kind, name, path string, index int, n *jsonc.Node) {
	d.references = append(d.references, reference{kind, name, path, index, n})
}

// object reads the fields of one object of the tree.
type object struct {
	*decoder
	node *jsonc.Node
	path string
	// known lists the fields that were asked for.
	known []string
	// unread is true if the value is no object, so that its fields aren't missed.
	unread bool
}

// newObject returns a reader of n. A value that is no object is a fault and
// reads as an empty object.
func (d *decoder) newObject(n *jsonc.Node, path string) *object {
	if n.Kind == jsonc.Object {
		return &object{decoder: d, node: n, path: path}
	}
	d.fault(n.Origin, path, "is "+n.Kind.String(), "an object")
	return &object{decoder: d, node: &jsonc.Node{Origin: n.Origin}, path: path, unread: true}
}

func (o *object) at(name string) string { return jsonc.MemberPath(o.path, name) }

// origin returns the place of a field: where it is set or deleted, else where
// the object stands.
func (o *object) origin(name string) Origin {
	if n, ok := o.node.Members[name]; ok {
		return n.Origin
	}
	return o.node.Origin
}

// find returns the field's node, or nil if it is absent or deleted.
func (o *object) find(name string) *jsonc.Node {
	o.known = append(o.known, name)
	n, ok := o.node.Members[name]
	if !ok || n.Kind == jsonc.Null {
		return nil
	}
	return n
}

// missing reports that a required field is absent.
func (o *object) missing(name, allowed string) {
	if !o.incomplete && !o.unread {
		o.fault(o.origin(name), o.at(name), "is missing", allowed)
	}
}

// finish reports the fields that nothing asked for.
func (o *object) finish() {
	for name, n := range o.node.Members {
		if !slices.Contains(o.known, name) {
			o.fault(n.Origin, o.at(name), "unknown field", strings.Join(o.known, ", "))
		}
	}
}

// read returns the value of a field by its rule, or the rule's default.
func read[T any](o *object, name string, r rule[T]) T {
	n := o.find(name)
	if n == nil {
		if r.required {
			o.missing(name, r.allowed)
		} else if o.recording {
			o.record(o.at(name), r.fallback, Origin{})
		}
		return r.fallback
	}
	v, problem := r.parse(n)
	if problem != "" {
		o.fault(n.Origin, o.at(name), problem, r.allowed)
		return r.fallback
	}
	if o.recording {
		o.record(o.at(name), v, n.Origin)
	}
	return v
}

// entry is one named value of a map.
type entry struct {
	name string
	path string
	node *jsonc.Node
}

// entries returns the values of a map field in the order of their names.
func (o *object) entries(name string) []entry {
	n := o.find(name)
	if n == nil {
		return nil
	}
	if n.Kind != jsonc.Object {
		o.fault(n.Origin, o.at(name), "is "+n.Kind.String(), "an object of values by name")
		return nil
	}
	var list []entry
	for _, key := range slices.Sorted(maps.Keys(n.Members)) {
		member, path := n.Members[key], jsonc.MemberPath(o.at(name), key)
		if member.Kind == jsonc.Null {
			continue
		}
		if !isName(key) {
			o.fault(member.Origin, path, "the name is not accepted", nameAllowed)
			continue
		}
		list = append(list, entry{key, path, member})
	}
	return list
}

// names reads a list of distinct names that refer to values of a kind.
func (d *decoder) names(n *jsonc.Node, path, kind string) []string {
	allowed := fmt.Sprintf("a list of one or more names of a %s, each once", kind)
	if n.Kind != jsonc.Array {
		d.fault(n.Origin, path, "is "+n.Kind.String(), allowed)
		return nil
	}
	if len(n.Items) == 0 {
		d.fault(n.Origin, path, "is empty", allowed)
		return nil
	}
	list := make([]string, 0, len(n.Items))
	for i, item := range n.Items {
		switch {
		case item.Kind != jsonc.String:
			d.fault(item.Origin, jsonc.ItemPath(path, i), "is "+item.Kind.String(), "a name of a "+kind)
			continue
		case slices.Contains(list, item.Text):
			d.fault(item.Origin, jsonc.ItemPath(path, i), fmt.Sprintf("%q stands twice", item.Text), allowed)
			continue
		}
		list = append(list, item.Text)
		d.refer(kind, item.Text, path, i, item)
	}
	if d.recording {
		d.record(path, list, n.Origin)
	}
	return list
}
