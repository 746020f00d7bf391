package folder

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Field is one value of the merged folder and the place that set it.
type Field struct {
	// Path names the field, such as "searches.judges.deadline".
	Path string
	// Value is the value in JSON.
	Value  string
	Origin Origin
}

// decoder turns the merged tree into contracts. It collects faults and fields.
type decoder struct {
	faults     []Fault
	fields     []Field
	references []reference
	// incomplete is true if a file could not be read. Absent values and unknown
	// names are then not reported, since that file may define them.
	incomplete bool
}

// reference is the use of a name that another part of the folder must define.
type reference struct {
	kind string
	name string
	path string
	node *node
}

func (d *decoder) fault(o Origin, field, problem, allowed string) {
	d.faults = append(d.faults, Fault{o.File, o.Line, field, problem, allowed})
}

func (d *decoder) record(path string, value any, o Origin) {
	d.fields = append(d.fields, Field{Path: path, Value: format(value), Origin: o})
}

func (d *decoder) refer(kind, name, path string, n *node) {
	d.references = append(d.references, reference{kind, name, path, n})
}

// object reads the fields of one object of the tree.
type object struct {
	*decoder
	node *node
	path string
	// known lists the fields that were asked for.
	known []string
	// unread is true if the value is no object, so that its fields aren't missed.
	unread bool
}

// newObject returns a reader of n. A value that is no object is a fault and
// reads as an empty object.
func (d *decoder) newObject(n *node, path string) *object {
	if n.kind == kindObject {
		return &object{decoder: d, node: n, path: path}
	}
	d.fault(n.origin, path, "is "+n.kind.String(), "an object")
	return &object{decoder: d, node: &node{origin: n.origin}, path: path, unread: true}
}

func (o *object) at(name string) string { return joined(o.path, name) }

// origin returns the place of a field: where it is set or deleted, else where
// the object stands.
func (o *object) origin(name string) Origin {
	if n, ok := o.node.members[name]; ok {
		return n.origin
	}
	return o.node.origin
}

// find returns the field's node, or nil if it is absent or deleted.
func (o *object) find(name string) *node {
	o.known = append(o.known, name)
	n, ok := o.node.members[name]
	if !ok || n.kind == kindNull {
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
	for name, n := range o.node.members {
		if !slices.Contains(o.known, name) {
			o.fault(n.origin, o.at(name), "unknown field", strings.Join(o.known, ", "))
		}
	}
}

// read returns the value of a field by its rule, or the rule's default.
func read[T any](o *object, name string, r rule[T]) T {
	n := o.find(name)
	if n == nil {
		if r.required {
			o.missing(name, r.allowed)
		} else {
			o.record(o.at(name), r.fallback, Origin{})
		}
		return r.fallback
	}
	v, problem := r.parse(n)
	if problem != "" {
		o.fault(n.origin, o.at(name), problem, r.allowed)
		return r.fallback
	}
	o.record(o.at(name), v, n.origin)
	return v
}

// entry is one named value of a map.
type entry struct {
	name string
	path string
	node *node
}

// entries returns the values of a map field in the order of their names.
func (o *object) entries(name string) []entry {
	n := o.find(name)
	if n == nil {
		return nil
	}
	if n.kind != kindObject {
		o.fault(n.origin, o.at(name), "is "+n.kind.String(), "an object of values by name")
		return nil
	}
	var list []entry
	for _, key := range slices.Sorted(maps.Keys(n.members)) {
		member, path := n.members[key], joined(o.at(name), key)
		if member.kind == kindNull {
			continue
		}
		if !isName(key) {
			o.fault(member.origin, path, "the name is not accepted", nameAllowed)
			continue
		}
		list = append(list, entry{key, path, member})
	}
	return list
}

// names reads a list of distinct names that refer to values of a kind.
func (d *decoder) names(n *node, path, kind string) []string {
	allowed := fmt.Sprintf("a list of one or more names of a %s, each once", kind)
	if n.kind != kindArray {
		d.fault(n.origin, path, "is "+n.kind.String(), allowed)
		return nil
	}
	if len(n.items) == 0 {
		d.fault(n.origin, path, "is empty", allowed)
		return nil
	}
	var list []string
	for i, item := range n.items {
		switch {
		case item.kind != kindString:
			d.fault(item.origin, indexed(path, i), "is "+item.kind.String(), "a name of a "+kind)
			continue
		case slices.Contains(list, item.text):
			d.fault(item.origin, indexed(path, i), fmt.Sprintf("%q stands twice", item.text), allowed)
			continue
		}
		list = append(list, item.text)
		d.refer(kind, item.text, indexed(path, i), item)
	}
	d.record(path, list, n.origin)
	return list
}
