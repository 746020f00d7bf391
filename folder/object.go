package folder

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/goldcrestmux/goldcrestmux/jsonc"
)

// Field is one value of the merged folder. Origin is the place that set it.
type Field struct {
	// Path is the path of the field, such as "searches.judges.deadline".
	Path string
	// Value is the value encoded as JSON.
	Value  string
	Origin Origin
}

// decoder decodes the merged tree into contracts. It collects faults, and also
// fields if recording is true.
type decoder struct {
	faults     []Fault
	references []reference
	recording  bool
	fields     []Field
	// incomplete is true if a file could not be parsed. Missing values and
	// unknown names are then not reported, because that file may define them.
	incomplete bool
}

// reference is the use of a name that must be defined elsewhere in the folder.
type reference struct {
	kind  string
	name  string
	path  string
	index int // index in the list at path, or noIndex
	node  *jsonc.Node
}

// noIndex is the index of a reference that is not in a list.
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
	d.fields = append(d.fields, Field{Path: path, Value: formatJSON(value), Origin: o})
}

func (d *decoder) addReference(kind, name, path string, index int, n *jsonc.Node) {
	d.references = append(d.references, reference{kind, name, path, index, n})
}

// object decodes the fields of one object of the tree.
type object struct {
	*decoder
	node *jsonc.Node
	path string
	// known holds the names of the fields that find was called for.
	known []string
	// invalid is true if the value is not an object. Its required fields are
	// then not reported as missing.
	invalid bool
}

// newObject returns a decoder of n. If n is not an object, newObject reports a
// fault and returns the decoder of an empty object.
func (d *decoder) newObject(n *jsonc.Node, path string) *object {
	if n.Kind == jsonc.Object {
		return &object{decoder: d, node: n, path: path}
	}
	d.fault(n.Origin, path, "is "+n.Kind.String(), "an object")
	return &object{decoder: d, node: &jsonc.Node{Origin: n.Origin}, path: path, invalid: true}
}

func (o *object) fieldPath(name string) string { return jsonc.MemberPath(o.path, name) }

// origin returns the place that sets or deletes a field, or the place of the
// object if the field is absent.
func (o *object) origin(name string) Origin {
	if n, ok := o.node.Members[name]; ok {
		return n.Origin
	}
	return o.node.Origin
}

// find returns the node of a field, or nil if the field is absent or deleted.
func (o *object) find(name string) *jsonc.Node {
	o.known = append(o.known, name)
	n, ok := o.node.Members[name]
	if !ok || n.Kind == jsonc.Null {
		return nil
	}
	return n
}

// missing reports a fault for an absent required field.
func (o *object) missing(name, allowed string) {
	if !o.incomplete && !o.invalid {
		o.fault(o.origin(name), o.fieldPath(name), "is missing", allowed)
	}
}

// finish reports the unknown fields of the object. It must be called after all
// known fields were read.
func (o *object) finish() {
	for name, n := range o.node.Members {
		if !slices.Contains(o.known, name) {
			o.fault(n.Origin, o.fieldPath(name), "unknown field", strings.Join(o.known, ", "))
		}
	}
}

// read returns the value of a field, or the default value of r if the field is
// absent or invalid.
func read[T any](o *object, name string, r rule[T]) T {
	n := o.find(name)
	if n == nil {
		if r.required {
			o.missing(name, r.allowed)
		} else if o.recording {
			o.record(o.fieldPath(name), r.defaultValue, Origin{})
		}
		return r.defaultValue
	}
	v, problem := r.parse(n)
	if problem != "" {
		o.fault(n.Origin, o.fieldPath(name), problem, r.allowed)
		return r.defaultValue
	}
	if o.recording {
		o.record(o.fieldPath(name), v, n.Origin)
	}
	return v
}

// entry is one entry of an object whose keys are names.
type entry struct {
	name string
	path string
	node *jsonc.Node
}

// entries returns the entries of the field with the given name, sorted by name.
func (o *object) entries(name string) []entry {
	n := o.find(name)
	if n == nil {
		return nil
	}
	if n.Kind != jsonc.Object {
		o.fault(n.Origin, o.fieldPath(name), "is "+n.Kind.String(), "an object of values by name")
		return nil
	}
	var list []entry
	for _, key := range slices.Sorted(maps.Keys(n.Members)) {
		member, path := n.Members[key], jsonc.MemberPath(o.fieldPath(name), key)
		if member.Kind == jsonc.Null {
			continue
		}
		if !isName(key) {
			o.fault(member.Origin, path, "the name is not valid", nameAllowed)
			continue
		}
		list = append(list, entry{key, path, member})
	}
	return list
}

// names decodes a list of distinct names of the given kind and adds a reference
// for each.
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
			d.fault(item.Origin, jsonc.ItemPath(path, i), "is "+item.Kind.String(), "the name of a "+kind)
			continue
		case slices.Contains(list, item.Text):
			d.fault(item.Origin, jsonc.ItemPath(path, i), fmt.Sprintf("%q is listed twice", item.Text), allowed)
			continue
		}
		list = append(list, item.Text)
		d.addReference(kind, item.Text, path, i, item)
	}
	if d.recording {
		d.record(path, list, n.Origin)
	}
	return list
}
